// What the gateway counts for its operators. Counted where a request is taken and where it ends, and nowhere
// else; all counts begin at 0 with the process.
#ifndef MEADOWYARD_CORE_METRICS_HPP_
#define MEADOWYARD_CORE_METRICS_HPP_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "meadowyard/policy.hpp"

namespace meadowyard::core {

class Metrics {
 public:
  // How a request ended: served, refused or failed; or its client left, which counts under none.
  enum class RequestResult { kServed, kRejected, kFailed, kUncounted };

  // The classes that are shown though nothing was asked of them yet.
  void SetClasses(const std::vector<TrafficClassSettings>& classes);

  void OnRequestAccepted() { ++current_; }
  // `taken`: whether the request was counted as taken before.
  void OnRequestFinished(const std::string& class_name, RequestResult end, bool taken = true);
  // An attempt was written whole to a host.
  void OnAttemptSent(const std::string& class_name);
  // A file was taken, or turned down, at SIGHUP.
  void OnConfigurationRead(bool taken) { ++(taken ? loaded_ : invalid_); }

  std::string ToJson(const Policy::Stats& hosts) const;

 private:
  struct Counts {
    std::uint64_t answered = 0, deferred = 0, errored = 0, sends = 0;
    bool known = true;  // by the settings in force
  };
  std::map<std::string, Counts> classes_;
  std::uint64_t current_ = 0, sends_ = 0, loaded_ = 0, invalid_ = 0;
};

}  // namespace meadowyard::core

#endif  // MEADOWYARD_CORE_METRICS_HPP_
