#include "membership/membership_view.hpp"

#include <algorithm>
#include <functional>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace meadowyard::membership {
namespace {

constexpr std::size_t kSentKept = 64;

}  // namespace

PeerView::PeerView(std::vector<std::string> names, std::size_t self, Times times, std::uint64_t life,
                   Millis now)
    : self_(self), times_(times), life_(life) {
  for (std::string& name : names) {
    list_ = XXH3_64bits_withSeed(name.data(), name.size(), list_ + 1);
    Peer peer;
    peer.name = std::move(name);
    peer.heard_at = kNeverHeard;
    peer.mutual_at = now - times_.silent;  // there until it counts as gone, but not in touch
    peers_.push_back(std::move(peer));
  }
}

bool PeerView::Hear(Millis now, const Beat& beat) {
  const auto found =
      std::find_if(peers_.begin(), peers_.end(), [&](const Peer& p) { return p.name == beat.from; });
  if (found == peers_.end() || found == peers_.begin() + static_cast<std::ptrdiff_t>(self_))
    return ++dropped_, false;
  Peer& p = *found;
  // Within a life numbers only grow. Another life is believed once the one before has fallen silent: what was
  // held up on the way must not take the place of what is said now.
  const bool stale = beat.life == p.life ? beat.number <= p.number : now - p.heard_at < times_.silent;
  if (p.listed > 0 && stale) return ++dropped_, false;
  p.life = beat.life, p.number = beat.number, p.list = beat.list, p.listed = beat.listed;
  p.heard_at = now;
  const bool touched = now < At(now).in_touch_until;
  // Touch counts from when the word was said that is answered here, not from when the answer is read: what a
  // stopped process finds waiting when it goes on is old.
  for (const Beat::Echo& e : beat.hears) {
    if (e.name != peers_[self_].name || e.life != life_ || e.number > number_) continue;
    const std::uint64_t back = number_ - e.number;
    if (back < sent_.size()) p.mutual_at = std::max(p.mutual_at, sent_[sent_.size() - 1 - back]);
  }
  if (!touched && now < At(now).in_touch_until) back_at_ = now;
  return true;
}

Beat PeerView::Next(Millis now) {
  Beat beat;
  beat.from = peers_[self_].name;
  beat.life = life_;
  beat.number = ++number_;
  sent_.push_back(now);
  if (sent_.size() > kSentKept) sent_.pop_front();
  beat.list = list_;
  beat.listed = At(now).listed;
  for (std::size_t i = 0; i < peers_.size(); ++i) {
    const Peer& p = peers_[i];
    if (i != self_ && now - p.heard_at < times_.silent) beat.hears.push_back({p.name, p.life, p.number});
  }
  return beat;
}

PeerView::Look PeerView::At(Millis now) const {
  Look look;
  // A longer list that some other has read holds here too: its gateways may be there. A shorter one is old.
  look.listed = static_cast<int>(peers_.size());
  for (std::size_t i = 0; i < peers_.size(); ++i) {
    if (i != self_) look.listed = std::max(look.listed, peers_[i].listed);
  }
  std::vector<std::size_t> there;
  std::vector<Millis> mutual;
  for (std::size_t i = 0; i < peers_.size(); ++i) {
    if (i != self_) mutual.push_back(peers_[i].mutual_at);
    // Silence while this one was out of touch says nothing of the others.
    if (i == self_ || now - std::max(peers_[i].mutual_at, back_at_) < times_.gone) there.push_back(i);
  }
  // More than half of all, this one included, that hear it and are heard.
  const auto needed = static_cast<std::size_t>(look.listed / 2);
  look.in_touch_until = kNeverHeard;
  if (needed == 0) {
    look.in_touch_until = now + times_.silent;  // there is nobody else
  } else if (mutual.size() >= needed) {
    const auto last = mutual.begin() + static_cast<std::ptrdiff_t>(needed - 1);
    std::nth_element(mutual.begin(), last, mutual.end(), std::greater<>());
    look.in_touch_until = *last + times_.silent;
  }
  // Those whom this list does not name yet count as there.
  look.present = static_cast<int>(there.size()) + look.listed - static_cast<int>(peers_.size());
  // Places: whoever stands in front keeps the place that its line has; those behind fill the gaps, so that
  // one that goes moves one other at the most.
  const std::size_t places = there.size();
  std::vector<bool> taken(places, false);
  for (const std::size_t i : there) {
    if (i < places) taken[i] = true;
  }
  std::size_t gap = 0;
  for (const std::size_t i : there) {
    std::size_t place = i;
    if (i >= places) {
      while (taken[gap]) ++gap;
      place = gap++;
    }
    if (i == self_) look.place = static_cast<int>(place);
  }
  return look;
}

}  // namespace meadowyard::membership
