// A connection to a host, from its dial to its close. Between requests nothing is read: whatever can be read
// then, a close or bytes that no request asked for, ends the connection.
#ifndef MEADOWYARD_UPSTREAM_CONNECTION_HPP_
#define MEADOWYARD_UPSTREAM_CONNECTION_HPP_

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>

#include "upstream/answer_reader.hpp"
#include "upstream/host_pool.hpp"
#include "upstream/request_writer.hpp"

namespace meadowyard {

class HostPool::Connection : public std::enable_shared_from_this<Connection> {
 public:
  struct Job : core::AttemptRequest {
    std::uint64_t attempt = 0;
    Millis patience = 0;  // from when the request is whole, where its body is still coming
  };

  Connection(HostPool& pool, std::string host, boost::asio::ip::tcp::endpoint address);

  // False if no descriptor is to be had.
  bool Open();
  // The same with a socket that is connected already.
  bool Assign(int fd);
  bool Pass();
  void Dial(Job job);
  void Run(Job job);
  // The list is current: goes on from where the dial came up.
  void Resume();
  // Whether the host has neither closed an idle connection nor sent anything on it. The pending wait may not
  // have been told yet, so the socket itself is asked.
  bool Fresh();
  bool SentWhole() const { return writer_.WrittenWhole(); }
  Millis rested_at() const { return rested_at_; }
  // Ends the job, if there is one, and the connection with it.
  void End(AttemptResult result);
  void Close();
  void Idle();

 private:
  void Take(Job job);
  void Finish(AttemptResult result, core::ResponseMessage reply);
  void Arm(Millis until);
  void Disarm();
  void TimeUp();
  void Dialled(boost::system::error_code ec);
  void Write();
  void Written();
  // Back to the pool before the outcome is told, for it may lead to the next send.
  void Release(bool keep_alive);

  HostPool& pool_;
  const std::string host_;
  const boost::asio::ip::tcp::endpoint address_;
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  RequestWriter writer_;
  AnswerReader reader_;
  Millis due_ = 0;    // when the job, or the rest, must have ended
  Millis waits_ = 0;  // until when the timer waits; 0: it does not
  Millis rested_at_ = 0;
  std::uint64_t turn_ = 0;
  std::optional<Job> job_;
  bool open_ = false;
};

}  // namespace meadowyard

#endif  // MEADOWYARD_UPSTREAM_CONNECTION_HPP_
