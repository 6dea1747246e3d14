// One connection of a client: its phases from one request to the next, and its end.
#ifndef MEADOWYARD_FRONTS_HTTP_SESSION_HPP_
#define MEADOWYARD_FRONTS_HTTP_SESSION_HPP_

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <string_view>

#include "core/clock.hpp"
#include "fronts/http/answer_writer.hpp"
#include "fronts/http/client_server.hpp"
#include "fronts/http/leave_watch.hpp"
#include "fronts/http/request_reader.hpp"

namespace meadowyard {

// One request at a time: what comes before the last one is answered waits its turn, a little of it in the
// head's buffer and the rest in the socket. A client that leaves while it waits is noticed.
class ClientServer::Session : public std::enable_shared_from_this<Session> {
 public:
  // Nothing that lies in the socket came before `after`.
  Session(ClientServer& server, boost::asio::ip::tcp::socket socket, Millis after);

  void Begin();
  // Goes on from what another process has read.
  void Adopted(std::string_view unread);
  // Has the wait for a head end, so that HeadRead may hand the connection over. Bytes that were read by then
  // arrive there first.
  void Yield();
  void Close();
  // Ends what has stood still for too long.
  void Sweep(Millis now);

  // Between requests, with nothing unread: may be closed without losing anything that was taken.
  bool Idle();
  // The last answer has had time to arrive: a request that crosses the close has the connection reset, which
  // could take the answer with it.
  bool Arrived(Millis now) const;
  bool Rested(Millis now) { return Idle() && Arrived(now); }
  Millis since() const { return since_; }
  // Which to close first where places have run out; kKept may not be closed. One that has just connected gets
  // a moment for its first request to arrive: closed at once, it would only connect again.
  Standing standing(Millis now) const;
  // Nothing that the client has sent whole may lie unread in the socket.
  bool MayEvict();

 private:
  enum class Phase { kReading, kWaiting, kWriting, kLingering, kClosed };
  using Error = boost::system::error_code;

  void Enter(Phase phase);
  Millis CameAfter() const;
  void ReadHead();
  void HeadRead(Error ec);
  void ReadBody();
  void Unreadable(Error ec);
  bool HandedOver();
  void Take();
  // The rest of a long body, a piece at a time.
  void ReadOn();
  void Whole();
  void Spoilt(Error ec);
  void DropUpload();
  void Left();
  void WatchForReset();
  // The request was not taken whole, and never will be: its client is told so, and nobody else answers.
  void Broken(Page page);
  // Whoever broke the protocol once has no place to go on from: what follows could be anything.
  void Reply(core::Answer answer);
  void Send(Page page, core::Answer* stream = nullptr);
  void Written(AnswerWriter::End end);
  void Linger();
  void Discard(std::size_t so_far);
  void Release() { server_.reserved_ -= std::exchange(reserved_, 0); }

  ClientServer& server_;
  boost::asio::ip::tcp::socket socket_;
  RequestReader reader_;
  AnswerWriter writer_;
  const Millis after_;  // what lay in the socket at first came later
  LeaveWatch leaving_;
  std::string body_;                // what was read of it before its request is taken
  std::shared_ptr<Upload> upload_;  // the rest of it
  std::string id_;
  std::uint64_t turn_ = 0;
  std::uint64_t answered_ = 0;
  std::uint64_t discard_ = 0;  // most bytes to read off after the last answer
  std::size_t reserved_ = 0;   // bytes of body that count against the server's
  Phase phase_ = Phase::kReading;
  Millis since_ = core::Now();
  Millis begun_at_ = 0;  // when a part of a request was first seen
  Millis came_at_ = 0;   // when the next request was seen behind the one being served
  Millis came_on_ = 0;   // when a body last came on
  Millis body_at_ = 0;   // when its first byte was waited for
  unsigned version_ = 11;
  bool keep_alive_ = true;
  bool in_body_ = false;  // a body is being read
  bool watched_ = false;  // for a reset
};

}  // namespace meadowyard

#endif  // MEADOWYARD_FRONTS_HTTP_SESSION_HPP_
