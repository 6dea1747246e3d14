/// @file
/// What one gateway sends each other gateway at every heartbeat interval.
#ifndef MEADOWYARD_MEMBERSHIP_HEARTBEAT_HPP_
#define MEADOWYARD_MEMBERSHIP_HEARTBEAT_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "meadowyard/policy.hpp"

namespace meadowyard::membership {

/// One heartbeat. Times in it are ages, for each gateway has a clock of its own.
struct Heartbeat {
  /// The last heartbeat that the sender received from another gateway.
  struct Acknowledgement {
    std::string member;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
  };
  /// A recent start of an endpoint, as service discovery reported it to the sender.
  struct EndpointStart {
    std::string endpoint;
    Millis age = 0;  ///< Time since the start.
  };

  std::string sender;             ///< Name of the gateway in the peers file.
  std::uint64_t incarnation = 0;  ///< Drawn at random when the sender's process starts.
  std::uint64_t sequence = 0;     ///< Grows by one with each heartbeat of an incarnation.
  std::uint64_t list_hash = 0;    ///< Hash of the names in the sender's peers file, in their order.
  int configured = 0;  ///< Gateways in the sender's peers file, or in a longer one that it knows of.
  std::vector<Acknowledgement> acknowledgements;  ///< Members that the sender has received from lately.
  std::vector<EndpointStart> started;
  std::vector<std::string> recovered;       ///< Endpoints that a health probe has just brought back.
  std::optional<ZoneLoadReport> zone_load;  ///< Only where requests are routed by zone.
};

}  // namespace meadowyard::membership

#endif  // MEADOWYARD_MEMBERSHIP_HEARTBEAT_HPP_
