// Writes one request to a host in HTTP/1.1, its body as it comes.
#ifndef MEADOWYARD_UPSTREAM_REQUEST_WRITER_HPP_
#define MEADOWYARD_UPSTREAM_REQUEST_WRITER_HPP_

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>

#include "core/body_source.hpp"
#include "core/message.hpp"

namespace meadowyard {

class RequestWriter {
 public:
  struct Handlers {
    std::function<std::shared_ptr<void>()> owner;  // kept while something is awaited
    std::function<void()> whole;                   // the kernel has its last byte
    std::function<void()> failed;                  // its last byte never left: the request never ran
    std::function<void()> broken;                  // the same, by its client: nothing of the host
    std::function<void()> awaits_host;             // with a body that is coming: the host must read on
    std::function<void()> awaits_body;             // its client may take its time
  };
  RequestWriter(boost::asio::ip::tcp::socket& socket, Handlers handlers)
      : socket_(socket), handlers_(std::move(handlers)) {}

  // `patience`: how long the gateway will wait, which the host is told.
  void Write(const core::RequestMessage& call, std::shared_ptr<core::BodySource> rest, Millis patience);
  bool WrittenWhole() const { return whole_ && !text_.empty() && written_ == text_.size(); }
  // Forgets the request; what was awaited means nothing any more.
  void Reset();

 private:
  void WriteMore();
  void AskOn();

  boost::asio::ip::tcp::socket& socket_;
  const Handlers handlers_;
  std::shared_ptr<core::BodySource> rest_;
  std::string text_;         // all of the request, or the latest piece of its body
  std::size_t written_ = 0;  // bytes of it that the kernel has taken
  bool whole_ = false;       // no more pieces follow
  bool chunked_ = false;
  std::uint64_t turn_ = 0;
};

}  // namespace meadowyard

#endif  // MEADOWYARD_UPSTREAM_REQUEST_WRITER_HPP_
