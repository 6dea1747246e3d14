// A stand-in host on a loopback port: speaks the hosts' side of the protocol round a HostModel, and writes
// down every attempt that reaches it.
#ifndef MEADOWYARD_LAB_HOST_HPP_
#define MEADOWYARD_LAB_HOST_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "lab/host_model.hpp"
#include "lab/kept_port.hpp"
#include "lab/random.hpp"
#include "lab/records.hpp"
#include "lab/stream.hpp"

namespace meadowyard::lab {

class StandInHost {
 public:
  struct Identity {
    int index = 0;
    std::string id, hall;
    KindSpec kind;
    bool drops_waiting = false;
    std::vector<std::string> unsafe;  // names of the classes that must not run twice
  };
  // Listens at once, on a free port. Throws boost::system::system_error if it can't.
  StandInHost(boost::asio::io_context& io, Identity identity, FleetLedger& ledger, std::uint64_t seed);
  ~StandInHost() { Vanish(true); }

  const Identity& identity() const { return identity_; }
  const boost::asio::ip::tcp::endpoint& address() const { return port_.address(); }
  bool up() const { return up_; }
  std::size_t connections() const { return streams_.size(); }

  void Crash();               // resets its connections; new ones are refused
  void Start();               // at the same address, cold
  void Silence(bool silent);  // says nothing any more; new connections never come up
  void Slow(double factor) { model_.Slow(Clock(), factor), Arm(); }
  void Fail(double share) { failing_ = share; }
  void Freeze(bool frozen);
  void Drain(bool draining);
  void BreakAnswers(double share) { broken_ = share; }
  void SpoilAnswers(double share) { spoilt_ = share; }

 private:
  struct Seat {  // a connection, and the attempt on it
    std::shared_ptr<ServerStream> stream;
    std::size_t execution = 0;
    std::uint64_t ticket = 0;  // 0: none is out
    std::size_t answer_bytes = 0;
    std::uint64_t id = 0;
  };
  using SeatPtr = std::shared_ptr<Seat>;

  void Listen();
  void Accept();
  void Got(const SeatPtr& seat, ServerStream::Message& message, Millis first, Millis last);
  void Offer(const SeatPtr& seat, Millis work, std::uint64_t key);
  void Left(const SeatPtr& seat);
  void Pump();
  void Arm();
  void Answer(const SeatPtr& seat);
  void Say(const SeatPtr& seat, int status, const std::string& fields, const std::string& body);
  void End(const SeatPtr& seat, Execution::Outcome outcome);
  void Vanish(bool tell_clients);
  void Note(const char* what);

  boost::asio::io_context& io_;
  const Identity identity_;
  FleetLedger& ledger_;
  Random random_;
  HostModel model_;
  const KeptPort port_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::vector<boost::asio::ip::tcp::socket> fillers_;  // take the places of a silent host's queue
  boost::asio::steady_timer timer_;
  Millis armed_ = 0;
  std::unordered_set<SeatPtr> streams_;
  std::unordered_map<std::uint64_t, SeatPtr> out_;  // by ticket
  std::vector<HostModel::Done> done_;
  std::uint64_t next_ticket_ = 1;
  double failing_ = 0, broken_ = 0, spoilt_ = 0;
  bool up_ = true, silent_ = false;
};

// "work=12.5,answer=200": what a request of the lab says of itself to the host.
struct Extra {
  Millis work = 0;
  std::size_t answer_bytes = 0;
};
Extra ParseExtra(std::string_view text);
// The first bytes of the answer that a host makes for a request; filler follows.
std::string AnswerMark(std::uint64_t id);

}  // namespace meadowyard::lab

#endif  // MEADOWYARD_LAB_HOST_HPP_
