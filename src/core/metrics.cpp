#include "core/metrics.hpp"

#include <nlohmann/json.hpp>

namespace meadowyard::core {
namespace {

// Includes classes that are no longer in the settings: each reload may bring new names.
constexpr std::size_t kMaxClasses = 256;

}  // namespace

void Metrics::SetClasses(const std::vector<TrafficClassSettings>& classes) {
  for (auto& [name, counts] : classes_) counts.in_settings = false;
  for (const TrafficClassSettings& c : classes) classes_[c.name].in_settings = true;
  for (auto it = classes_.begin(); it != classes_.end() && classes_.size() > kMaxClasses;) {
    it = it->second.in_settings ? std::next(it) : classes_.erase(it);
  }
}

void Metrics::OnRequestFinished(const std::string& class_name, RequestResult result, bool accepted) {
  if (accepted) --open_requests_;
  Counts& counts = classes_[class_name];
  if (result == RequestResult::kServed) ++counts.answered;
  if (result == RequestResult::kRejected) ++counts.deferred;
  if (result == RequestResult::kFailed) ++counts.errored;
}

void Metrics::OnAttemptSent(const std::string& class_name) {
  ++sends_;
  ++classes_[class_name].sends;
}

std::string Metrics::ToJson(const Policy::Stats& stats) const {
  nlohmann::json classes = nlohmann::json::object();
  for (const auto& [name, c] : classes_) {
    classes[name] = {
        {"answered", c.answered}, {"deferred", c.deferred}, {"errored", c.errored}, {"sends", c.sends}};
  }
  const nlohmann::json metrics = {{"transactions", std::move(classes)},
                                  {"sends", sends_},
                                  {"current", open_requests_},
                                  {"cluster_size", stats.endpoints},
                                  {"cluster_unhealthy", stats.unavailable},
                                  {"attempt_ends", attempt_ends_},
                                  {"client_connection_ends", connection_ends_},
                                  {"conf_loaded", configurations_loaded_},
                                  {"conf_invalid", configurations_rejected_},
                                  {"configuration",
                                   {{"settings_from", configuration_.settings_source},
                                    {"discovery", configuration_.discovery_address},
                                    {"discovery_from", configuration_.discovery_source},
                                    {"last_rejection", last_rejection_}}}};
  // Class names come from a file: invalid UTF-8 in one is replaced, as it would otherwise make dump() throw.
  return metrics.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace meadowyard::core
