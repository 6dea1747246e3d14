// The list of hosts: its form, and the watch on discovery that keeps it up to date.
#ifndef MEADOWYARD_DISCOVERY_HPP_
#define MEADOWYARD_DISCOVERY_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "meadowyard/policy.hpp"

namespace meadowyard::discovery {

struct EndpointRecord {
  Endpoint endpoint;
  boost::asio::ip::tcp::endpoint address;
};

struct EndpointList {
  std::int64_t revision = 0;
  bool is_snapshot = true;  // else only what changed
  std::vector<EndpointRecord> endpoints;
};

// "10.1.0.18:3000"; nothing if it is anything else.
std::optional<boost::asio::ip::tcp::endpoint> ParseAddress(const std::string& text);
std::string FormatAddress(const boost::asio::ip::tcp::endpoint& endpoint);
// A list in discovery's form.
std::string SerializeEndpointList(const EndpointList& list);
// Nothing if the text is broken in any part: half a list must not pass for a whole one.
std::optional<EndpointList> ParseEndpointList(std::string_view text);

class DiscoveryClient {
 public:
  struct Callbacks {
    std::function<void(EndpointList)> on_update;
    std::function<void()> on_failure;  // the watch has ended; Watch() begins a new one
  };
  // Without a revision the whole list is asked for first.
  DiscoveryClient(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint address,
                  std::optional<std::int64_t> revision, Callbacks handlers);

  // Begins a watch, from the last revision known; does nothing while one is on.
  void Start();
  // Discovery is elsewhere from now on: what the old one still says is dropped, and the whole list is asked
  // for.
  void SetAddress(const boost::asio::ip::tcp::endpoint& address);

  // Asks anew from the last revision known, on a connection that came up after `since`, whatever the call
  // that is on would bring, and when. False: nothing is watched here.
  bool PollAgainSince(Millis since);
  // Ends the watch, if one is on, without a word; Watch() begins it again.
  void Stop();
  // The list is known up to here from elsewhere.
  void SetRevision(std::int64_t revision) { revision_ = revision; }

  const boost::asio::ip::tcp::endpoint& address() const { return address_; }
  std::optional<std::int64_t> revision() const { return revision_; }

 private:
  struct Call;
  void Ask();
  void Expect(const std::shared_ptr<Call>& call, Millis within);
  void Connected(const std::shared_ptr<Call>& call, Millis wait);
  void Answered(const std::shared_ptr<Call>& call);
  void Fail(const std::shared_ptr<Call>& call);

  void Drop();
  void Renew();

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::endpoint address_;
  std::optional<std::int64_t> revision_;  // none yet from this discovery: its numbers are its own
  const Callbacks callbacks_;
  std::shared_ptr<boost::asio::ip::tcp::socket> socket_;  // always open; kept between the calls of a watch
  bool connected_ = false;
  Millis connected_at_ = 0;
  std::shared_ptr<Call> call_;  // the one that is on; results of others are dropped
  std::uint64_t moves_ = 0;
  boost::asio::steady_timer pause_;
  bool watching_ = false;
};

}  // namespace meadowyard::discovery

#endif  // MEADOWYARD_DISCOVERY_HPP_
