/// @file
/// Opens tunnel connections to hosts, directly or through a parent proxy. An opened connection is owned by
/// the caller.
#ifndef MEADOWYARD_UPSTREAM_TUNNEL_DIALER_HPP_
#define MEADOWYARD_UPSTREAM_TUNNEL_DIALER_HPP_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "core/upstream.hpp"
#include "discovery/discovery.hpp"
#include "upstream/parent_handshake.hpp"

namespace meadowyard {

/// Upstream for tunnels: each attempt ends with an open connection or a failure.
class TunnelDialer : public core::Upstream {
 public:
  /// Timeouts in milliseconds.
  struct Times {
    Millis dial = 250;     // TCP connect
    Millis parent = 2000;  // handshake with the parent proxy, after the connect
  };
  /// `may_use` is checked before the connect, after it, and after the handshake with a parent proxy.
  TunnelDialer(boost::asio::io_context& io, Times times,
               std::function<bool(const std::string& host)> may_use);
  ~TunnelDialer() override;

  void Update(const discovery::EndpointList& list);
  void SetTimes(Times times) { times_ = times; }
  void SetParent(std::optional<ParentAccess> parent) { parent_ = std::move(parent); }

  std::uint64_t Start(const std::string& host, core::AttemptRequest request) override;
  void Cancel(std::uint64_t attempt) override { End(attempt, AttemptResult::kCancelled); }
  /// Always ends the attempt: nothing of the client is sent before the tunnel is open.
  void CancelIfUnsent(std::uint64_t attempt) override { End(attempt, AttemptResult::kNotSent); }

 private:
  class Dial;
  void End(std::uint64_t attempt, AttemptResult result);
  boost::asio::io_context& io_;
  Times times_;
  const std::function<bool(const std::string&)> may_use_;
  std::optional<ParentAccess> parent_;
  std::map<std::string, boost::asio::ip::tcp::endpoint> hosts_;
  std::unordered_map<std::uint64_t, std::shared_ptr<Dial>> dials_;
  std::uint64_t next_attempt_ = 1;
};

/// Sends tunnels to one upstream and all other requests to another. The lowest bit of an attempt id is 1 for
/// a tunnel.
class SplitUpstream : public core::Upstream {
 public:
  SplitUpstream(core::Upstream& requests, core::Upstream& tunnels) : requests_(requests), tunnels_(tunnels) {}
  std::uint64_t Start(const std::string& host, core::AttemptRequest request) override {
    const bool tunnel = request.on_tunnel_opened != nullptr;
    return (tunnel ? tunnels_ : requests_).Start(host, std::move(request)) << 1 | (tunnel ? 1u : 0u);
  }
  void Cancel(std::uint64_t attempt) override { UpstreamOf(attempt).Cancel(attempt >> 1); }
  void CancelIfUnsent(std::uint64_t attempt) override { UpstreamOf(attempt).CancelIfUnsent(attempt >> 1); }

 private:
  core::Upstream& UpstreamOf(std::uint64_t attempt) { return attempt & 1 ? tunnels_ : requests_; }

  core::Upstream& requests_;
  core::Upstream& tunnels_;
};

}  // namespace meadowyard

#endif  // MEADOWYARD_UPSTREAM_TUNNEL_DIALER_HPP_
