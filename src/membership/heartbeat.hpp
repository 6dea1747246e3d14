/// @file
/// The message that a gateway sends to every other gateway at each heartbeat interval.
#ifndef MEADOWYARD_MEMBERSHIP_HEARTBEAT_HPP_
#define MEADOWYARD_MEMBERSHIP_HEARTBEAT_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "meadowyard/policy.hpp"

namespace meadowyard::membership {

/// One heartbeat. It carries ages instead of instants, because the clocks of gateways are not synchronised.
struct Heartbeat {
  /// Acknowledges the last heartbeat that the sender received from another gateway.
  struct Acknowledgement {
    std::string member;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
  };
  /// A recent start of an endpoint, as service discovery reported it to the sender.
  struct EndpointStart {
    std::string endpoint;
    Millis age = 0;  ///< Time since the start, in ms.
  };

  std::string sender;             ///< Name of the gateway in the peers file.
  std::uint64_t incarnation = 0;  ///< Drawn at random when the sender's process starts.
  std::uint64_t sequence = 0;     ///< Incremented by one with each heartbeat of an incarnation.
  std::uint64_t list_hash = 0;    ///< Hash of the names in the sender's peers file, in file order.
  int configured = 0;             ///< Number of gateways in the longest peers file that the sender knows of.
  std::vector<Acknowledgement> acknowledgements;  ///< One for each member that the sender has received a
                                                  ///< heartbeat from within the suspect timeout.
  std::vector<EndpointStart> started;
  std::vector<std::string> recovered;       ///< Endpoints that a health probe has just found healthy again.
  std::optional<ZoneLoadReport> zone_load;  ///< Set only with zone routing.
};

}  // namespace meadowyard::membership

#endif  // MEADOWYARD_MEMBERSHIP_HEARTBEAT_HPP_
