#include "lab/host.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <charconv>
#include <cstdio>

namespace meadowyard::lab {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

constexpr Millis kProbeWork = 0.4;

std::optional<std::uint64_t> ParseId(std::string_view text) {
  std::uint64_t id = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), id, 16);
  if (text.size() != 16 || error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return id;
}

}  // namespace

Extra ParseExtra(std::string_view text) {
  Extra extra;
  while (!text.empty()) {
    const std::string_view pair = text.substr(0, text.find(','));
    text.remove_prefix(std::min(text.size(), pair.size() + 1));
    const char* const last = pair.data() + pair.size();
    if (pair.starts_with("work=")) std::from_chars(pair.data() + 5, last, extra.work);
    if (pair.starts_with("answer=")) std::from_chars(pair.data() + 7, last, extra.answer_bytes);
  }
  return extra;
}

std::string AnswerMark(std::uint64_t id) {
  char text[32];
  std::snprintf(text, sizeof text, "%016llx:", static_cast<unsigned long long>(id));
  return text;
}

StandInHost::StandInHost(asio::io_context& io, Identity identity, FleetLedger& ledger, std::uint64_t seed)
    : io_(io),
      identity_(std::move(identity)),
      ledger_(ledger),
      random_(seed, identity_.id),
      model_(identity_.kind),
      port_(io),
      acceptor_(io),
      timer_(io) {
  Listen();
}

void StandInHost::Listen() {
  acceptor_ = port_.Listen(io_, silent_ ? 0 : asio::socket_base::max_listen_connections);
  if (!silent_) return Accept();
  for (int i = 0; i < 3; ++i) {  // with its queue full, the kernel lets no connection come up
    fillers_.emplace_back(io_);
    fillers_.back().open(address().protocol());
    fillers_.back().non_blocking(true);
    // Not by the library: its connect would wait for what never comes up.
    if (::connect(fillers_.back().native_handle(), address().data(),
                  static_cast<socklen_t>(address().size())) == 0)
      continue;
  }
}

void StandInHost::Accept() {
  acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
    if (ec) return;
    const auto seat = std::make_shared<Seat>();
    seat->stream = std::make_shared<ServerStream>(std::move(socket));
    ++ledger_.connections;
    HostUse& use = ledger_.uses[static_cast<std::size_t>(identity_.index)];
    ++use.connections;
    if (identity_.kind.connections > 0 &&
        streams_.size() >= static_cast<std::size_t>(identity_.kind.connections)) {
      seat->stream->Reset();
      return Accept();
    }
    streams_.insert(seat);
    ledger_.most_connections = std::max<std::uint64_t>(ledger_.most_connections, streams_.size());
    use.most_connections = std::max<std::uint64_t>(use.most_connections, streams_.size());
    model_.Burden(Clock(), identity_.kind.connect_work);
    seat->stream->Start({[this, seat](ServerStream::Message& message, Millis first, Millis last) {
                           Got(seat, message, first, last);
                         },
                         nullptr, [this, seat](ServerStream::End) { Left(seat); }});
    if (silent_ || model_.frozen()) seat->stream->Hold(true);
    Accept();
  });
}

void StandInHost::Got(const SeatPtr& seat, ServerStream::Message& message, Millis first, Millis last) {
  const auto target = message.target();
  if (target == "/alive" || target == "/metrics/load") {
    ++ledger_.probes;
    model_.Burden(Clock(), kProbeWork);
    return Say(seat, 200, "", "");
  }
  const auto id_field = message["Req-Id"];
  if (id_field.empty()) return Say(seat, 404, "", "");
  const auto id = ParseId({id_field.data(), id_field.size()});
  if (!id) {
    ++ledger_.bad_requests;
    return Say(seat, 400, "", "");
  }
  const auto kind = message["Req-Kind"];
  Execution execution;
  execution.id = *id;
  execution.host = identity_.index;
  execution.first = first;
  execution.last = last;
  execution.unsafe = std::find(identity_.unsafe.begin(), identity_.unsafe.end(),
                               std::string_view(kind.data(), kind.size())) != identity_.unsafe.end();
  seat->execution = ledger_.executions.size();
  ledger_.executions.push_back(execution);
  const auto extra_field = message["Req-Extra"];
  const Extra extra = ParseExtra({extra_field.data(), extra_field.size()});
  seat->answer_bytes = extra.answer_bytes;
  seat->id = *id;
  const auto key_field = message["Req-Key"];
  std::uint64_t key = 0;
  std::from_chars(key_field.data(), key_field.data() + key_field.size(), key);
  Offer(seat, extra.work, key);
}

void StandInHost::Offer(const SeatPtr& seat, Millis work, std::uint64_t key) {
  if (failing_ > 0 && random_.Chance(failing_)) {  // fails fast, having begun
    ledger_.executions[seat->execution].started = Clock();
    End(seat, Execution::Outcome::kError);
    return Say(seat, 500, "", "");
  }
  seat->ticket = next_ticket_++;
  const auto verdict = model_.Offer(Clock(), seat->ticket, work, key);
  ledger_.uses[static_cast<std::size_t>(identity_.index)].cold = model_.cold_use();
  if (model_.fell()) {
    Note("fell");
    return Crash();
  }
  if (verdict != HostModel::Verdict::kTaken) {
    seat->ticket = 0;
    End(seat, Execution::Outcome::kDeclined);
    return Say(seat, 503, "Srv-Declined: 1\r\n", "");
  }
  out_[seat->ticket] = seat;
  Pump();
}

void StandInHost::Left(const SeatPtr& seat) {
  streams_.erase(seat);
  if (seat->ticket == 0) return;
  if (identity_.drops_waiting && model_.Cancel(Clock(), seat->ticket)) {
    out_.erase(seat->ticket);
    End(seat, Execution::Outcome::kDropped);
  }
  Pump();
}

void StandInHost::Pump() {
  done_.clear();
  model_.Advance(Clock(), done_);
  const auto ended = std::exchange(done_, {});
  for (const HostModel::Done& done : ended) {
    const auto found = out_.find(done.ticket);
    if (found == out_.end()) continue;
    const SeatPtr seat = found->second;
    out_.erase(found);
    ledger_.executions[seat->execution].started = done.started;
    Answer(seat);
  }
  Arm();
}

void StandInHost::Arm() {
  const auto due = model_.NextDue();
  if (!due) return;
  if (armed_ > 0 && armed_ <= *due) return;
  armed_ = *due;
  timer_.expires_after(Wait(*due - Clock()));
  timer_.async_wait([this](error_code ec) {
    if (ec) return;
    armed_ = 0;
    Pump();
  });
}

void StandInHost::Answer(const SeatPtr& seat) {
  seat->ticket = 0;
  End(seat, Execution::Outcome::kAnswered);
  std::string body = AnswerMark(seat->id);
  body.resize(std::max(body.size(), seat->answer_bytes), 'x');
  if (broken_ > 0 && random_.Chance(broken_)) {
    seat->stream->Write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size() + 100) +
                        "\r\n\r\n" + body);
    seat->stream->Reset();
    streams_.erase(seat);
    return;
  }
  if (spoilt_ > 0 && random_.Chance(spoilt_)) {
    static const char* const kNoise[] = {
        "HTTP/1.1 2x0 what\r\n\r\n", "\x01\x02\x03noise without end",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 9\r\n\r\nshort"};
    return seat->stream->Write(kNoise[random_.Below(3)]);
  }
  Say(seat, 200, "", body);
}

void StandInHost::Say(const SeatPtr& seat, int status, const std::string& fields, const std::string& body) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " -\r\n" + fields;
  text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  seat->stream->Write(text += body);
}

void StandInHost::End(const SeatPtr& seat, Execution::Outcome outcome) {
  Execution& execution = ledger_.executions[seat->execution];
  execution.outcome = outcome;
  execution.ended = Clock();
}

void StandInHost::Vanish(bool tell_clients) {
  for (const auto& [ticket, seat] : out_) End(seat, Execution::Outcome::kLost);
  out_.clear();
  for (const SeatPtr& seat : streams_) tell_clients ? seat->stream->Reset() : seat->stream->Close();
  streams_.clear();
  fillers_.clear();
  error_code ignored;
  acceptor_.close(ignored);
}

void StandInHost::Crash() {
  if (!up_) return;
  // What was in work when the process died had begun, and may have had its effect.
  for (const auto& [ticket, seat] : out_) {
    if (ledger_.executions[seat->execution].started == 0) ledger_.executions[seat->execution].started = -1;
  }
  Vanish(true);
  model_.Stop(Clock());
  up_ = false;
  Note("crash");
}

void StandInHost::Start() {
  Vanish(true);
  silent_ = false;
  up_ = true;
  failing_ = broken_ = spoilt_ = 0;
  model_.Start(Clock(), true);
  Listen();
  Note("start");
}

void StandInHost::Silence(bool silent) {
  if (!silent) return Start();  // it comes back as a new process: what was open is reset
  silent_ = true;
  for (const SeatPtr& seat : streams_) seat->stream->Hold(true);
  model_.Freeze(Clock(), true);
  error_code ignored;
  acceptor_.close(ignored);
  Listen();
  Note("silent");
}

void StandInHost::Freeze(bool frozen) {
  Note(frozen ? "freeze" : "thaw");  // first: what was held is answered from now on
  model_.Freeze(Clock(), frozen);
  const std::vector<SeatPtr> all(streams_.begin(), streams_.end());
  for (const SeatPtr& seat : all) seat->stream->Hold(frozen);
  Pump();
}

void StandInHost::Drain(bool draining) {
  model_.Drain(draining);
  Note(draining ? "drain" : "undrain");
}

void StandInHost::Note(const char* what) { ledger_.events.push_back({Clock(), identity_.index, what}); }

}  // namespace meadowyard::lab
