/// @file
/// Counters of the gateway for its operators. A request is counted in two places only, where it is accepted
/// and where it is finished. All counters start at 0 with the process.
#ifndef MEADOWYARD_CORE_METRICS_HPP_
#define MEADOWYARD_CORE_METRICS_HPP_

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "core/attempt_end.hpp"
#include "meadowyard/policy.hpp"

namespace meadowyard::core {

/// Which configuration is in force, and where it comes from.
struct ConfigurationStatus {
  std::string settings_source;    ///< "file", or "in_force": the predecessor's or the other process's.
  std::string discovery_address;  ///< "ADDRESS:PORT"
  std::string discovery_source;   ///< As `settings_source`, or "environment".
};

/// Counters over all requests and for each traffic class.
class Metrics {
 public:
  /// How a request ended. kUncounted: its client disconnected before it was answered, or its tunnel was
  /// handed over to another process; none of the counters includes it.
  enum class RequestResult { kServed, kRejected, kFailed, kUncounted };

  /// Sets the classes that are listed even before their first request.
  void SetClasses(const std::vector<TrafficClassSettings>& classes);

  void OnRequestAccepted() { ++open_requests_; }
  /// `accepted`: whether OnRequestAccepted was called for this request.
  void OnRequestFinished(const std::string& class_name, RequestResult result, bool accepted = true);
  /// An attempt was written completely to a host.
  void OnAttemptSent(const std::string& class_name);
  /// An attempt has ended, for whatever reason.
  void OnAttemptEnded(AttemptEndReason reason) { ++attempt_ends_[ToString(reason)]; }
  /// A client's connection was closed; `reason` is a literal.
  void OnClientConnectionClosed(const char* reason) { ++connection_ends_[reason]; }
  /// A configuration file was read at SIGHUP, and applied or rejected as invalid.
  void OnConfigurationRead(bool valid) { ++(valid ? configurations_loaded_ : configurations_rejected_); }

  /// A configuration is in force now.
  void OnConfigurationInForce(ConfigurationStatus status) { configuration_ = std::move(status); }
  /// A configuration file was not used; `reason` is one line.
  void OnConfigurationRejected(const std::string& reason) { last_rejection_ = reason; }

  /// All counters as one JSON object, with `stats` of the policy.
  std::string ToJson(const Policy::Stats& stats) const;

 private:
  struct Counts {
    std::uint64_t answered = 0, deferred = 0, errored = 0, sends = 0;
    bool in_settings = true;  // the class exists in the settings in force
  };
  ConfigurationStatus configuration_;
  std::string last_rejection_;  // empty: none
  std::map<std::string, Counts> classes_;
  std::map<std::string, std::uint64_t> attempt_ends_, connection_ends_;  // by reason
  std::uint64_t open_requests_ = 0, sends_ = 0, configurations_loaded_ = 0, configurations_rejected_ = 0;
};

}  // namespace meadowyard::core

#endif  // MEADOWYARD_CORE_METRICS_HPP_
