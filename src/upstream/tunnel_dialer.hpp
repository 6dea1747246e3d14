// Opens ways to hosts, directly or through a parent proxy. Whoever asked owns what has been opened.
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

class TunnelDialer : public core::Upstream {
 public:
  struct Times {
    Millis dial = 250;
    Millis parent = 2000;  // a parent's whole handshake, beyond the dial
  };
  // `may_use` is asked before the dial, after it, and after a parent's handshake.
  TunnelDialer(boost::asio::io_context& io, Times times,
               std::function<bool(const std::string& host)> may_use);
  ~TunnelDialer() override;

  void Update(const discovery::EndpointList& list);
  void SetTimes(Times times) { times_ = times; }
  void SetParent(std::optional<ParentAccess> parent) { parent_ = std::move(parent); }

  std::uint64_t Start(const std::string& host, core::AttemptRequest errand) override;
  void Cancel(std::uint64_t attempt) override { End(attempt, AttemptResult::kCancelled); }
  // A tunnel is sent nothing until it is open.
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
  std::uint64_t next_ = 1;
};

// Tunnels by one upstream, all else by another.
class SplitUpstream : public core::Upstream {
 public:
  SplitUpstream(core::Upstream& requests, core::Upstream& tunnels) : requests_(requests), tunnels_(tunnels) {}
  std::uint64_t Start(const std::string& host, core::AttemptRequest errand) override {
    const bool tunnel = errand.on_tunnel_opened != nullptr;
    return (tunnel ? tunnels_ : requests_).Start(host, std::move(errand)) << 1 | (tunnel ? 1u : 0u);
  }
  void Cancel(std::uint64_t attempt) override { Of(attempt).Cancel(attempt >> 1); }
  void CancelIfUnsent(std::uint64_t attempt) override { Of(attempt).CancelIfUnsent(attempt >> 1); }

 private:
  core::Upstream& Of(std::uint64_t attempt) { return attempt & 1 ? tunnels_ : requests_; }

  core::Upstream& requests_;
  core::Upstream& tunnels_;
};

}  // namespace meadowyard

#endif  // MEADOWYARD_UPSTREAM_TUNNEL_DIALER_HPP_
