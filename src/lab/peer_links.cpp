#include "lab/peer_links.hpp"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>

#include "lab/process.hpp"
#include "lab/relay.hpp"
#include "lab/stream.hpp"

namespace meadowyard::lab {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using udp = asio::ip::udp;

std::string ToText(const udp::endpoint& at) { return "127.0.0.1:" + std::to_string(at.port()); }

}  // namespace

PeerLinks::End::End(asio::io_context& io, const DatagramSpec& spec, std::uint64_t seed, int owner_number,
                    int other_number)
    : owner(owner_number),
      other(other_number),
      socket(io, Endpoint(asio::ip::address_v4::loopback(), 0)),
      model(spec, seed, "peer " + std::to_string(owner) + " to " + std::to_string(other)) {
  socket.non_blocking(true);
}

PeerLinks::PeerLinks(asio::io_context& io, int gateways, const DatagramSpec& spec, std::uint64_t seed,
                     Hears hears)
    : io_(io), gateways_(gateways), hears_(std::move(hears)) {
  for (int g = 0; g < gateways; ++g) {
    const auto at = ToEndpoint(FreeAddress());
    listens_.emplace_back(at.address(), at.port());
    for (int p = 0; p < gateways; ++p) ends_.push_back(std::make_unique<End>(io, spec, seed, g, p));
  }
  for (const auto& end : ends_) {
    if (end->owner != end->other) Read(*end);
  }
}

PeerLinks::End& PeerLinks::EndOf(int owner, int other) {
  return *ends_[static_cast<std::size_t>(owner * gateways_ + other)];
}

std::vector<std::vector<std::string>> PeerLinks::addresses() const {
  std::vector<std::vector<std::string>> all(static_cast<std::size_t>(gateways_));
  for (const auto& end : ends_) {
    all[static_cast<std::size_t>(end->owner)].push_back(
        ToText(end->owner == end->other ? listens_[static_cast<std::size_t>(end->owner)]
                                        : end->socket.local_endpoint()));
  }
  return all;
}

void PeerLinks::Read(End& end) {
  end.socket.async_receive_from(asio::buffer(end.buffer), end.from,
                                [this, &end](error_code ec, std::size_t n) {
                                  if (ec == asio::error::operation_aborted) return;
                                  if (!ec && end.from == listens_[static_cast<std::size_t>(end.owner)])
                                    Pass(end, n);
                                  Read(end);
                                });
}

void PeerLinks::Pass(End& end, std::size_t size) {
  if (hears_) hears_(end.owner, end.other, end.buffer.data(), size, false);
  for (const Millis at : end.model.Arrives(Clock())) {
    const auto timer = std::make_shared<asio::steady_timer>(io_, Wait(at - Clock()));
    const std::vector<char> bytes(end.buffer.begin(), end.buffer.begin() + static_cast<std::ptrdiff_t>(size));
    timer->async_wait([this, timer, &end, bytes](error_code ec) {
      if (ec) return;
      error_code ignored;
      EndOf(end.other, end.owner)
          .socket.send_to(asio::buffer(bytes), listens_[static_cast<std::size_t>(end.other)], 0, ignored);
      if (hears_) hears_(end.owner, end.other, bytes.data(), bytes.size(), true);
    });
  }
}

void PeerLinks::CutUntil(Millis until, const std::vector<int>& side, bool to, bool from) {
  const auto in_side = [&](int g) { return std::find(side.begin(), side.end(), g) != side.end(); };
  for (const auto& end : ends_) {
    const bool leaves = in_side(end->owner) && !in_side(end->other);
    const bool enters = !in_side(end->owner) && in_side(end->other);
    if ((leaves && from) || (enters && to)) end->model.CutUntil(until);
  }
}

}  // namespace meadowyard::lab
