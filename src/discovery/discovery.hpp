/// @file
/// The list of hosts: its JSON format, and the client that keeps it up to date by long polling the discovery
/// service.
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

/// A host of the list with its address.
struct EndpointRecord {
  Endpoint endpoint;
  boost::asio::ip::tcp::endpoint address;
};

/// A revision of the host list.
struct EndpointList {
  std::int64_t revision = 0;
  bool is_snapshot = true;  ///< If false, holds only the hosts that changed.
  std::vector<EndpointRecord> endpoints = {};
  bool changed_recently = false;  ///< What changed since the previous list has changed just now.
};

/// Parses an IP address and port such as "10.1.0.18:3000"; std::nullopt if the text is not one.
std::optional<boost::asio::ip::tcp::endpoint> ParseAddress(const std::string& text);
/// The inverse of ParseAddress.
std::string FormatAddress(const boost::asio::ip::tcp::endpoint& endpoint);
/// Writes a list in the JSON format of the discovery service.
std::string SerializeEndpointList(const EndpointList& list);
/// Parses a list in the JSON format of the discovery service. Returns std::nullopt if any part is invalid: a
/// truncated list must not be taken for a complete one.
std::optional<EndpointList> ParseEndpointList(std::string_view text);

/// Watches the discovery service for changes to the host list with a sequence of long polls.
class DiscoveryClient {
 public:
  struct Callbacks {
    std::function<void(EndpointList)> on_update;
    std::function<void()> on_failure;  ///< The watch has ended; Start() begins a new one.
  };
  /// @param revision  of the list that the caller holds; without one, a snapshot is requested first
  DiscoveryClient(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint address,
                  std::optional<std::int64_t> revision, Callbacks callbacks);

  /// Begins a watch from the last known revision; does nothing while one is running.
  void Start();
  /// Switches to a discovery service at another address: answers of the old one are ignored, and a snapshot
  /// is requested. If it throws, usually for lack of memory, the watch of the old one has failed.
  void SetAddress(const boost::asio::ip::tcp::endpoint& address);

  /// Polls again from the last known revision on a connection established after `since`. A pending poll on an
  /// older connection is aborted, even if its answer is about to arrive. Returns false if no watch is
  /// running.
  bool PollAgainSince(Millis since);
  /// Ends the watch, if one is running, without calling on_failure; Start() begins it again.
  void Stop();
  /// The caller has received the list up to this revision from another source.
  void SetRevision(std::int64_t revision) { revision_ = revision; }

  const boost::asio::ip::tcp::endpoint& address() const { return address_; }
  std::optional<std::int64_t> revision() const { return revision_; }

 private:
  struct Poll;
  void StartPoll();
  void SetDeadline(const std::shared_ptr<Poll>& poll, Millis timeout);
  void SendRequest(const std::shared_ptr<Poll>& poll, Millis wait);
  void HandleAnswer(const std::shared_ptr<Poll>& poll);
  void Fail(const std::shared_ptr<Poll>& poll);

  void AbortPoll();
  void ReopenSocket();

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::endpoint address_;
  std::optional<std::int64_t> revision_;  // empty after an address change: each service numbers its own
  Millis answered_at_ = 0;                // when the last answer was received; 0: none was
  const Callbacks callbacks_;
  std::shared_ptr<boost::asio::ip::tcp::socket> socket_;  // always open; reused by the polls of a watch
  bool connected_ = false;
  Millis connected_at_ = 0;
  std::shared_ptr<Poll> poll_;    // the pending one; results of others are ignored
  std::uint64_t generation_ = 0;  // incremented to cancel a poll that is scheduled but not yet started
  boost::asio::steady_timer next_poll_timer_;
  bool watching_ = false;
};

}  // namespace meadowyard::discovery

#endif  // MEADOWYARD_DISCOVERY_HPP_
