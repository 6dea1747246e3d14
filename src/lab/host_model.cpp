#include "lab/host_model.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace meadowyard::lab {
namespace {

constexpr Millis kFallWindow = 1500;  // of work sent to a cold host, as the operators' rule has it
constexpr Millis kColdStep = 20;      // while cold its speed changes: looked at this often
constexpr Millis kNothing = 1e-9;

}  // namespace

double HostModel::Warmth(Millis now) const {
  if (kind_.cold_for <= 0 || now - cold_since_ >= kind_.cold_for) return 1;
  return kind_.cold_from + (1 - kind_.cold_from) * std::max(0.0, now - cold_since_) / kind_.cold_for;
}

double HostModel::Speed(Millis now) const {
  if (frozen_ || running_.empty()) return 0;
  const double share = std::min(1.0, static_cast<double>(kind_.cores) / static_cast<double>(running_.size()));
  return kind_.speed * Warmth(now) / slow_ * share;
}

// Brings all work up to `now`, one end after the other: each changes the speed of the rest.
void HostModel::Progress(Millis now) {
  while (now_ < now) {
    const double speed = Speed(now_);
    Millis step = now - now_;
    if (Warmth(now_) < 1) step = std::min(step, kColdStep);
    if (speed > 0) {
      const auto first = std::min_element(running_.begin(), running_.end(),
                                          [](const Job& a, const Job& b) { return a.left < b.left; });
      step = std::min(step, first->left / speed);
    }
    for (Job& job : running_) job.left -= step * speed;
    now_ += std::max(step, std::numeric_limits<double>::epsilon() * now_);
    for (std::size_t i = 0; i < running_.size();) {
      if (running_[i].left > kNothing) {
        ++i;
        continue;
      }
      if (running_[i].ticket != 0) ended_.push_back({running_[i].ticket, running_[i].started});
      running_.erase(running_.begin() + static_cast<std::ptrdiff_t>(i));
    }
    Admit(now_);
  }
}

void HostModel::Admit(Millis now) {
  const auto slots = static_cast<std::size_t>(kind_.slots > 0 ? kind_.slots : kind_.cores);
  while (!waiting_.empty() && running_.size() < slots) {
    running_.push_back(waiting_.front());
    running_.back().started = now;
    waiting_.pop_front();
  }
}

HostModel::Verdict HostModel::Offer(Millis now, std::uint64_t ticket, Millis work, std::uint64_t key) {
  Progress(now);
  if (draining_) return Verdict::kDraining;
  WatchLoad(now, work);  // what it turns away was sent to it as well
  if (waiting_.size() >= static_cast<std::size_t>(kind_.waiting) && !frozen_) {
    const auto slots = static_cast<std::size_t>(kind_.slots > 0 ? kind_.slots : kind_.cores);
    if (running_.size() >= slots) return Verdict::kFull;
  }
  if (kind_.warm_gain > 0 && key != 0) {
    const auto met = warm_.find(key);
    if (met != warm_.end() && now - met->second < kind_.warm_for) work *= 1 - kind_.warm_gain;
    if (met == warm_.end() && warm_.size() >= static_cast<std::size_t>(kind_.warm_keys)) {
      warm_.erase(std::min_element(warm_.begin(), warm_.end(),
                                   [](const auto& a, const auto& b) { return a.second < b.second; }));
    }
    warm_[key] = now;
  }
  waiting_.push_back({ticket, std::max(work, kNothing * 2), 0});
  Admit(now);
  return Verdict::kTaken;
}

void HostModel::Burden(Millis now, Millis work) {
  if (work <= 0) return;
  Progress(now);
  running_.push_back({0, work, now});
}

// Sent more than the multiple of what it can do within the window, a cold host falls over.
void HostModel::WatchLoad(Millis now, Millis work) {
  if (kind_.fall_multiple <= 0 || Warmth(now) >= 1) return;
  offered_.push_back({now, work});
  offered_sum_ += work;
  while (offered_.front().first < now - kFallWindow) {
    offered_sum_ -= offered_.front().second;
    offered_.pop_front();
  }
  const double can = kind_.cores * kind_.speed * Warmth(now) / slow_ * kFallWindow;
  const double use = offered_sum_ / (kind_.fall_multiple * can);
  cold_use_ = std::max(cold_use_, use);
  if (use > 1) fell_ = true;
}

bool HostModel::Cancel(Millis now, std::uint64_t ticket) {
  Progress(now);
  return std::erase_if(waiting_, [&](const Job& job) { return job.ticket == ticket; }) > 0;
}

void HostModel::Advance(Millis now, std::vector<Done>& done) {
  Progress(now);
  done.insert(done.end(), ended_.begin(), ended_.end());
  ended_.clear();
}

std::optional<Millis> HostModel::NextDue() const {
  if (!ended_.empty()) return now_;
  const double speed = Speed(now_);
  if (speed <= 0) return std::nullopt;
  Millis least = std::numeric_limits<Millis>::infinity();
  for (const Job& job : running_) least = std::min(least, job.left);
  const Millis due = least / speed;
  return now_ + (Warmth(now_) < 1 ? std::min(due, kColdStep) : due);
}

void HostModel::Start(Millis now, bool cold) {
  Stop(now);
  cold_since_ = cold ? now : -1e15;
  slow_ = 1;
  frozen_ = draining_ = fell_ = false;
  offered_.clear();
  offered_sum_ = 0;
}

void HostModel::Stop(Millis now) {
  Progress(now);
  running_.clear();
  waiting_.clear();
  ended_.clear();
  warm_.clear();
}

void HostModel::Slow(Millis now, double factor) {
  Progress(now);
  slow_ = factor;
}

void HostModel::Freeze(Millis now, bool frozen) {
  Progress(now);
  frozen_ = frozen;
}

}  // namespace meadowyard::lab
