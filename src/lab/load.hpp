// Open-loop load: each request is sent when it is due, whatever became of those before it, and its latency
// counts from then. The generator says by how much it was late itself.
#ifndef MEADOWYARD_LAB_LOAD_HPP_
#define MEADOWYARD_LAB_LOAD_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <unordered_set>
#include <vector>

#include "lab/random.hpp"
#include "lab/records.hpp"
#include "lab/schedule.hpp"
#include "lab/spec.hpp"
#include "lab/stream.hpp"

namespace meadowyard::lab {

class Load {
 public:
  using Endpoint = boost::asio::ip::tcp::endpoint;
  // `gateways` are those that a front deals connections to; it heeds Takes().
  Load(boost::asio::io_context& io, const Experiment& experiment, std::vector<Arrival> arrivals,
       std::vector<Endpoint> gateways, std::uint64_t seed);
  ~Load();

  // `done` follows when the last try has ended.
  void Begin(Millis start, std::function<void()> done);
  // Sends nothing more; what is out is left.
  void Stop();
  // The front takes a gateway in or leaves it out. One that was killed loses what its clients had there.
  void Takes(std::size_t gateway, bool in) { takes_[gateway] = in; }

  Millis start() const { return start_; }
  const std::vector<Arrival>& arrivals() const { return arrivals_; }
  const std::vector<Try>& tries() const { return tries_; }
  // By how much each arrival was handed to the network later than it was due.
  const std::vector<float>& lateness() const { return lateness_; }
  std::size_t sent() const { return next_; }
  std::size_t open() const { return open_; }

 private:
  struct Connection;
  using ConnectionPtr = std::shared_ptr<Connection>;

  void Tick();
  void Arm();
  void SendDue(Millis now);
  void StartTry(std::uint32_t arrival, std::uint16_t number, Millis due);
  void Place(std::size_t index);
  bool PlaceAt(std::size_t index, std::size_t gateway);
  void Dial(std::size_t index, std::size_t gateway);
  void Write(const ConnectionPtr& connection, std::size_t index);
  // The body's next piece, of a client that sends slowly.
  void WriteOn(const ConnectionPtr& connection, std::size_t index, std::size_t from);
  std::string Head(const Try& t) const;
  void Got(const ConnectionPtr& connection, ClientStream::Message& message, Millis first, Millis last);
  void Ended(const ConnectionPtr& connection, ClientStream::End end);
  void Finish(std::size_t index, Try::Outcome outcome);
  void Again(std::size_t index);
  void Drop(const ConnectionPtr& connection);
  void PlaceWaiting();
  void GiveUpDue(Millis now);
  void CheckDone();

  boost::asio::io_context& io_;
  const Experiment experiment_;
  const std::vector<Arrival> arrivals_;
  const std::vector<Endpoint> gateways_;
  std::vector<bool> takes_;
  Random random_;
  boost::asio::steady_timer timer_;
  Millis start_ = 0;
  std::function<void()> done_;
  std::size_t next_ = 0, open_ = 0;
  std::vector<Try> tries_;
  std::vector<float> lateness_;
  std::vector<ConnectionPtr> at_;                 // by try: where it is out
  std::vector<std::vector<ConnectionPtr>> idle_;  // by gateway
  std::unordered_set<ConnectionPtr> connections_;
  std::deque<std::size_t> waiting_;              // tries for want of a connection
  std::multimap<Millis, std::size_t> patience_;  // when a try is given up
  std::multimap<Millis, std::pair<std::uint32_t, std::uint16_t>> retries_;
  std::string filler_;
  bool stopped_ = false;
};

}  // namespace meadowyard::lab

#endif  // MEADOWYARD_LAB_LOAD_HPP_
