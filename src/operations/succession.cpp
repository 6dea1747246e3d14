#include "operations/succession.hpp"

#include <cstdlib>
#include <utility>

#include "core/clock.hpp"
#include "discovery/discovery.hpp"
#include "log/log.hpp"

namespace meadowyard {
namespace {

using boost::system::error_code;
using Kind = Message::Kind;

constexpr Millis kTellEvery = 100;  // from one count of descriptors to the next

}  // namespace

Succession::Succession(boost::asio::io_context& io, const std::string& path, Descriptor before,
                       Handlers handlers)
    : io_(io),
      handlers_(std::move(handlers)),
      server_(io, path, [this](Descriptor socket) { Asked(std::move(socket)); }),
      may_be_followed_(!path.empty()),
      tell_(io) {
  if (!before) return;
  before_ = std::make_unique<Link>(io_, std::move(before));
  before_->Listen({[this](Message message) { FromBefore(std::move(message)); },
                   [this] {
                     before_.reset();
                     handlers_.others(0);
                   }});
}

void Succession::Serve() {
  if (std::exchange(serving_, true)) return;
  if (before_) before_->Send(Kind::kReady, "");
  if (may_be_followed_ && !server_.Listen()) {
    log::Write(log::Level::kWarn, "handover_unreachable",
               {{"text", "the next version will not find this one in $TMPDIR"}});
  }
}

// One at a time: a second one that asks meanwhile is told nothing and starts on its own.
void Succession::Asked(Descriptor socket) {
  if (next_) return;
  const std::string state = handlers_.state();
  std::string_view rest = state;
  bool sent = true;
  for (int listener = handlers_.listener(); sent && !rest.empty(); listener = -1) {
    sent = SendMessage(socket.get(), Kind::kState, rest.substr(0, kMostMessage), listener);
    rest.remove_prefix(std::min(rest.size(), kMostMessage));
  }
  for (const auto& [key, door] :
       handlers_.doors ? handlers_.doors() : std::vector<std::pair<std::string, int>>()) {
    sent = sent && SendMessage(socket.get(), Kind::kDoor, key, door);
  }
  if (!sent || !SendMessage(socket.get(), Kind::kEnd, "")) {
    log::Write(log::Level::kWarn, "handover_failed",
               {{"text", "could not tell the next version what this one knows"}});
    return;
  }
  next_ = std::make_unique<Link>(io_, std::move(socket));
  next_->Listen({[this](Message message) { FromNext(std::move(message)); }, [this] { NextEnded(); }});
}

void Succession::FromBefore(Message message) {
  switch (message.kind) {
    case Kind::kClient: return handlers_.client(message.text, std::move(message.descriptor));
    case Kind::kHost: {
      const std::size_t space = message.text.find(' ');
      const auto address = discovery::ParseAddress(message.text.substr(0, space));
      if (!address || space == std::string::npos) return;
      return handlers_.host(message.text.substr(space + 1), *address, std::move(message.descriptor));
    }
    case Kind::kTunnel:
      return handlers_.tunnel(message.text, std::move(message.descriptor), std::move(message.second));
    case Kind::kHeld: return handlers_.others(std::strtoul(message.text.c_str(), nullptr, 10));
    case Kind::kOut:
    case Kind::kBack: {
      const bool out = message.kind == Kind::kOut;
      handlers_.maintained(message.text, out);
      return Mirror(next_.get(), message.text, out);
    }
    default: return;
  }
}

void Succession::FromNext(Message message) {
  if (message.kind == Kind::kReady && !succeeded_) {
    succeeded_ = true;
    server_.Close();
    log::Write(log::Level::kInfo, "succeeded", {{"text", "the next version serves"}});
    handlers_.succeeded();
    TellHeld();
  } else if (message.kind == Kind::kOut || message.kind == Kind::kBack) {
    const bool out = message.kind == Kind::kOut;
    handlers_.maintained(message.text, out);
    Mirror(before_.get(), message.text, out);
  }
}

void Succession::NextEnded() {
  next_.reset();
  if (!std::exchange(succeeded_, false)) return;
  log::Write(log::Level::kWarn, "abandoned", {{"text", "the next version has ended; this one serves again"}});
  tell_.cancel();
  handlers_.abandoned();
  server_.Listen();
}

void Succession::TellHeld() {
  if (!next_) return;
  next_->Send(Kind::kHeld, std::to_string(handlers_.held()));
  tell_.expires_after(core::ToDuration(kTellEvery));
  tell_.async_wait([this](error_code ec) {
    if (!ec) TellHeld();
  });
}

bool Succession::PassClient(int socket, std::string_view unread) {
  return next_ && unread.size() <= kMostMessage && next_->Send(Kind::kClient, unread, socket);
}

bool Succession::PassHost(const std::string& host, const boost::asio::ip::tcp::endpoint& address,
                          int socket) {
  return next_ && next_->Send(Kind::kHost, discovery::FormatAddress(address) + " " + host, socket);
}

bool Succession::PassTunnel(std::string_view text, int client, int host) {
  return next_ && text.size() <= kMostMessage && next_->Send(Kind::kTunnel, text, client, host);
}

void Succession::Maintained(const std::string& host, bool out) {
  Mirror(before_.get(), host, out);
  Mirror(next_.get(), host, out);
}

void Succession::Mirror(Link* link, const std::string& host, bool out) {
  if (link != nullptr) link->Send(out ? Kind::kOut : Kind::kBack, host);
}

}  // namespace meadowyard
