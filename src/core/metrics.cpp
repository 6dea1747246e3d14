#include "core/metrics.hpp"

#include <nlohmann/json.hpp>

namespace meadowyard::core {
namespace {

constexpr std::size_t kMostClasses = 256;  // with those that were dropped: files may name ever new ones

}  // namespace

void Metrics::SetClasses(const std::vector<TrafficClassSettings>& classes) {
  for (auto& [name, counts] : classes_) counts.known = false;
  for (const TrafficClassSettings& c : classes) classes_[c.name].known = true;
  for (auto it = classes_.begin(); it != classes_.end() && classes_.size() > kMostClasses;) {
    it = it->second.known ? std::next(it) : classes_.erase(it);
  }
}

void Metrics::OnRequestFinished(const std::string& class_name, RequestResult end, bool taken) {
  if (taken) --current_;
  Counts& counts = classes_[class_name];
  if (end == RequestResult::kServed) ++counts.answered;
  if (end == RequestResult::kRejected) ++counts.deferred;
  if (end == RequestResult::kFailed) ++counts.errored;
}

void Metrics::OnAttemptSent(const std::string& class_name) {
  ++sends_;
  ++classes_[class_name].sends;
}

std::string Metrics::ToJson(const Policy::Stats& hosts) const {
  nlohmann::json classes = nlohmann::json::object();
  for (const auto& [name, c] : classes_) {
    classes[name] = {
        {"answered", c.answered}, {"deferred", c.deferred}, {"errored", c.errored}, {"sends", c.sends}};
  }
  const nlohmann::json figures = {{"transactions", std::move(classes)},
                                  {"sends", sends_},
                                  {"current", current_},
                                  {"cluster_size", hosts.endpoints},
                                  {"cluster_unhealthy", hosts.unavailable},
                                  {"conf_loaded", loaded_},
                                  {"conf_invalid", invalid_}};
  // Names come from a file: what is no UTF-8 in them must not keep the figures back.
  return figures.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace meadowyard::core
