#include "lab/load.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <utility>

#include "lab/host.hpp"

namespace meadowyard::lab {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

constexpr std::size_t kNone = static_cast<std::size_t>(-1);
constexpr Millis kStep = 5;       // how exactly patience ends
constexpr Millis kSlowStep = 20;  // from piece to piece of a slow body

// The id of a client's further try: another one, that can be told from the first.
std::uint64_t IdOf(std::uint64_t first, std::uint16_t number) {
  std::uint64_t h = first + 0x9e3779b97f4a7c15ULL * number;
  h = (h ^ (h >> 30)) * 0xbf58476d1ce4e5b9ULL;
  return number == 0 ? first : h ^ (h >> 27);
}

}  // namespace

const char* Name(Try::Outcome outcome) {
  constexpr const char* kNames[] = {"open", "served",     "refused", "failed", "gave_up",
                                    "cut",  "no_connect", "wrong",   "twice"};
  return kNames[static_cast<int>(outcome)];
}

struct Load::Connection {
  std::shared_ptr<ClientStream> stream;
  std::unique_ptr<tcp::socket> dialling;
  std::size_t gateway = 0;
  std::size_t now = kNone;   // the try that is out on it
  std::size_t last = kNone;  // the one before
  bool writing = false;      // more of its body is to follow
  bool resent = false;       // the try that is out was begun on another connection
  std::uint64_t answered = 0;
};

Load::Load(asio::io_context& io, const Experiment& experiment, std::vector<Arrival> arrivals,
           std::vector<Endpoint> gateways, std::uint64_t seed)
    : io_(io),
      experiment_(experiment),
      arrivals_(std::move(arrivals)),
      gateways_(std::move(gateways)),
      takes_(gateways_.size(), true),
      random_(seed, "load"),
      timer_(io),
      idle_(gateways_.size()) {
  tries_.reserve(arrivals_.size() * 5 / 4);
  lateness_.reserve(arrivals_.size());
  std::size_t most = 0;
  for (const ClassSpec& c : experiment_.classes) most = std::max(most, c.body_bytes);
  filler_.assign(most, 'b');
}

Load::~Load() { Stop(); }

void Load::Begin(Millis start, std::function<void()> done) {
  start_ = start;
  done_ = std::move(done);
  Tick();
}

void Load::Stop() {
  stopped_ = true;
  timer_.cancel();
  for (const auto& connection : std::exchange(connections_, {})) {
    if (connection->stream) connection->stream->Close();
  }
  idle_.clear();
  at_.clear();
}

void Load::Tick() {
  if (stopped_) return;
  const Millis now = Clock();
  SendDue(now);
  while (!retries_.empty() && retries_.begin()->first <= now) {
    const auto [due, what] = *retries_.begin();
    retries_.erase(retries_.begin());
    StartTry(what.first, what.second, due);
  }
  GiveUpDue(now);
  PlaceWaiting();
  CheckDone();
  if (!stopped_) Arm();
}

void Load::Arm() {
  Millis next = Clock() + kStep;
  if (next_ < arrivals_.size()) next = std::min(next, start_ + arrivals_[next_].due);
  if (!retries_.empty()) next = std::min(next, retries_.begin()->first);
  timer_.expires_after(Wait(next - Clock()));
  timer_.async_wait([this](error_code ec) {
    if (!ec) Tick();
  });
}

void Load::SendDue(Millis now) {
  while (next_ < arrivals_.size() && start_ + arrivals_[next_].due <= now) {
    const Millis due = start_ + arrivals_[next_].due;
    lateness_.push_back(static_cast<float>(Clock() - due));
    StartTry(static_cast<std::uint32_t>(next_++), 0, due);
  }
}

void Load::StartTry(std::uint32_t arrival, std::uint16_t number, Millis due) {
  Try t;
  t.arrival = arrival;
  t.number = number;
  t.id = IdOf(arrivals_[arrival].id, number);
  t.due = due;
  t.patience = arrivals_[arrival].patience;
  tries_.push_back(t);
  at_.emplace_back();
  ++open_;
  patience_.emplace(due + t.patience, tries_.size() - 1);
  Place(tries_.size() - 1);
}

// A front deals requests to the gateways that it has taken in.
void Load::Place(std::size_t index) {
  std::vector<std::size_t> in;
  for (std::size_t g = 0; g < gateways_.size(); ++g) {
    if (takes_[g]) in.push_back(g);
  }
  if (in.empty()) return waiting_.push_back(index);
  const std::size_t gateway = in.size() == 1 ? in.front() : in[random_.Below(in.size())];
  if (!PlaceAt(index, gateway)) waiting_.push_back(index);
}

bool Load::PlaceAt(std::size_t index, std::size_t gateway) {
  auto& idle = idle_[gateway];
  while (!idle.empty()) {
    const ConnectionPtr connection = idle.back();
    idle.pop_back();
    if (!connection->stream->open()) continue;
    Write(connection, index);
    return true;
  }
  if (connections_.size() >= static_cast<std::size_t>(experiment_.load.connections)) {
    // One that idles at another gateway makes room.
    const auto other =
        std::find_if(idle_.begin(), idle_.end(), [](const auto& list) { return !list.empty(); });
    if (other == idle_.end()) return false;
    Drop(other->front());
  }
  Dial(index, gateway);
  return true;
}

void Load::Dial(std::size_t index, std::size_t gateway) {
  const auto connection = std::make_shared<Connection>();
  connection->gateway = gateway;
  connection->now = index;
  connection->dialling = std::make_unique<tcp::socket>(io_);
  connections_.insert(connection);
  at_[index] = connection;
  tries_[index].gateway = static_cast<std::int16_t>(gateway);
  connection->dialling->async_connect(gateways_[gateway], [this, connection](error_code ec) {
    if (stopped_ || !connections_.contains(connection)) return;
    const std::size_t waits = connection->now;
    if (ec || waits == kNone) {
      Drop(connection);
      if (waits != kNone) Finish(waits, Try::Outcome::kNoConnect);
      return;
    }
    connection->stream = std::make_shared<ClientStream>(std::move(*connection->dialling));
    connection->dialling.reset();
    const std::weak_ptr<Connection> weak = connection;
    connection->stream->Start({[this, weak](ClientStream::Message& message, Millis first, Millis last) {
                                 if (const auto c = weak.lock()) Got(c, message, first, last);
                               },
                               [this, weak] {
                                 const auto c = weak.lock();
                                 if (c && c->now != kNone && tries_[c->now].sent == 0)
                                   tries_[c->now].sent = Clock();
                               },
                               [this, weak](ClientStream::End end) {
                                 if (const auto c = weak.lock()) Ended(c, end);
                               }});
    if (random_.Chance(experiment_.load.slow_readers)) connection->stream->ReadAt(experiment_.load.slow_rate);
    Write(connection, waits);
  });
}

std::string Load::Head(const Try& t) const {
  const Arrival& a = arrivals_[t.arrival];
  const ClassSpec& c = experiment_.classes[a.cls];
  const Millis left = t.due + t.patience - Clock();
  std::string head = fmt::format(
      "{} /api HTTP/1.1\r\nHost: shop.lab\r\nReq-Id: {:016x}\r\nReq-Kind: {}\r\nReq-Key: {}\r\n"
      "Req-Deadline: {}u\r\nReq-Extra: work={:.4f},answer={}\r\n",
      c.effect == Idempotency::kIdempotent ? "GET" : "POST", t.id, c.name, a.key,
      static_cast<std::int64_t>(std::max(1.0, left * 1000)), a.work, c.answer_bytes);
  if (a.tenant >= 0)
    head += fmt::format("Req-Owner: {}\r\n", experiment_.tenants[static_cast<std::size_t>(a.tenant)].name);
  if (a.hint >= 0) head += fmt::format("Req-Cost: {}\r\n", static_cast<std::int64_t>(a.hint * 1000));
  if (t.number > 0) head += "Req-Retry: 1\r\n";
  if (c.effect == Idempotency::kIdempotencyKey)
    head += fmt::format("Idempotency-Key: {:016x}\r\n", arrivals_[t.arrival].id);
  if (c.effect != Idempotency::kIdempotent) head += fmt::format("Content-Length: {}\r\n", c.body_bytes);
  if (!experiment_.load.keep) head += "Connection: close\r\n";
  return head += "\r\n";
}

void Load::Write(const ConnectionPtr& connection, std::size_t index) {
  Try& t = tries_[index];
  connection->now = index;
  t.gateway = static_cast<std::int16_t>(connection->gateway);
  at_[index] = connection;
  const ClassSpec& c = experiment_.classes[arrivals_[t.arrival].cls];
  std::string text = Head(t);
  const bool slow = c.body_bytes > 0 && random_.Chance(experiment_.load.slow_writers);
  if (c.effect != Idempotency::kIdempotent && !slow) text.append(filler_, 0, c.body_bytes);
  connection->writing = slow;
  connection->stream->Write(text);
  if (slow) WriteOn(connection, index, 0);
}

void Load::WriteOn(const ConnectionPtr& connection, std::size_t index, std::size_t from) {
  if (stopped_ || connection->now != index || !connection->stream->open()) return;
  const std::size_t all = experiment_.classes[arrivals_[tries_[index].arrival].cls].body_bytes;
  const auto piece =
      std::max<std::size_t>(1, static_cast<std::size_t>(experiment_.load.slow_rate * kSlowStep / 1000));
  const std::size_t n = std::min(piece, all - from);
  connection->writing = from + n < all;
  connection->stream->Write(std::string_view(filler_).substr(from, n));
  if (!connection->writing) return;
  const auto timer = std::make_shared<asio::steady_timer>(io_, Wait(kSlowStep));
  timer->async_wait([this, timer, weak = std::weak_ptr(connection), index, next = from + n](error_code ec) {
    const auto c = weak.lock();
    if (!ec && c) WriteOn(c, index, next);
  });
}

void Load::Got(const ConnectionPtr& connection, ClientStream::Message& message, Millis first, Millis last) {
  if (connection->now == kNone) {  // a second answer to the request before
    if (connection->last != kNone) tries_[connection->last].outcome = Try::Outcome::kTwice;
    return Drop(connection);
  }
  const std::size_t index = connection->last = std::exchange(connection->now, kNone);
  Try& t = tries_[index];
  t.first = first;
  t.ended = last;
  t.status = static_cast<int>(message.result_int());
  t.answer_bytes = static_cast<std::uint32_t>(message.body().size());
  const auto advice = message["Retry-After"];
  double seconds = 0;
  std::from_chars(advice.data(), advice.data() + advice.size(), seconds);
  t.retry_after = seconds * 1000;
  Try::Outcome outcome = Try::Outcome::kFailed;
  if (t.status == 429 || t.status == 503) outcome = Try::Outcome::kRefused;
  if (t.status == 200) {
    const std::string mark = AnswerMark(t.id);
    const std::size_t size =
        std::max(mark.size(), experiment_.classes[arrivals_[t.arrival].cls].answer_bytes);
    const bool good = message.body().starts_with(mark) && message.body().size() == size;
    outcome = good ? Try::Outcome::kServed : Try::Outcome::kWrong;
  }
  const bool keep = experiment_.load.keep && message.keep_alive();
  ++connection->answered;
  connection->resent = false;
  Finish(index, outcome);
  if (!keep || !connection->stream->open()) return Drop(connection);
  while (!waiting_.empty()) {
    const std::size_t waits = waiting_.front();
    waiting_.pop_front();
    if (tries_[waits].outcome == Try::Outcome::kOpen) return Write(connection, waits);
  }
  idle_[connection->gateway].push_back(connection);
}

void Load::Ended(const ConnectionPtr& connection, ClientStream::End) {
  const std::size_t index = std::exchange(connection->now, kNone);
  const bool reused = connection->answered > 0, begun = connection->stream->begun();
  Drop(connection);
  if (index == kNone) return;
  // A close that crossed a request which was not read: the client sends it once more.
  if (reused && !begun && !connection->resent && takes_[connection->gateway]) {
    Dial(index, connection->gateway);
    at_[index]->resent = true;
    return;
  }
  tries_[index].ended = Clock();
  Finish(index, tries_[index].sent > 0 ? Try::Outcome::kCut : Try::Outcome::kNoConnect);
}

void Load::Finish(std::size_t index, Try::Outcome outcome) {
  Try& t = tries_[index];
  if (t.outcome != Try::Outcome::kOpen) return;
  t.outcome = outcome;
  if (t.ended == 0) t.ended = Clock();
  at_[index].reset();
  --open_;
  for (auto [at, end] = patience_.equal_range(t.due + t.patience); at != end; ++at) {
    if (at->second != index) continue;
    patience_.erase(at);
    break;
  }
  if (outcome != Try::Outcome::kServed) Again(index);
}

// Clients ask again for what was refused, and for what is safe to repeat also when it failed.
void Load::Again(std::size_t index) {
  const Try& t = tries_[index];
  const ClassSpec& c = experiment_.classes[arrivals_[t.arrival].cls];
  const bool never_ran = t.outcome == Try::Outcome::kRefused || t.outcome == Try::Outcome::kNoConnect;
  if (stopped_ || t.number >= experiment_.load.retries || t.outcome == Try::Outcome::kGaveUp) return;
  if (!never_ran && c.effect != Idempotency::kIdempotent) return;
  const Millis wait = std::max(experiment_.load.retry_wait * random_.Between(0.5, 1.5), t.retry_after);
  retries_.emplace(Clock() + wait, std::pair(t.arrival, static_cast<std::uint16_t>(t.number + 1)));
}

void Load::Drop(const ConnectionPtr& connection) {
  if (connection->stream) connection->stream->Close();
  if (connections_.erase(connection) == 0) return;
  std::erase(idle_[connection->gateway], connection);
  if (connection->dialling) {
    error_code ignored;
    connection->dialling->close(ignored);
  }
}

// Those that wait for want of a connection, or of a gateway that takes any.
void Load::PlaceWaiting() {
  while (!waiting_.empty() && connections_.size() < static_cast<std::size_t>(experiment_.load.connections)) {
    const std::size_t waits = waiting_.front();
    waiting_.pop_front();
    if (tries_[waits].outcome != Try::Outcome::kOpen) continue;
    const std::size_t before = waiting_.size();
    Place(waits);
    if (waiting_.size() > before) return;
  }
}

void Load::GiveUpDue(Millis now) {
  while (!patience_.empty() && patience_.begin()->first <= now) {
    const std::size_t index = patience_.begin()->second;
    const ConnectionPtr connection = at_[index];
    Finish(index, tries_[index].sent > 0 ? Try::Outcome::kGaveUp : Try::Outcome::kNoConnect);
    if (!connection) continue;
    connection->now = kNone;
    Drop(connection);
  }
}

void Load::CheckDone() {
  if (next_ < arrivals_.size() || open_ > 0 || !retries_.empty() || !done_) return;
  std::exchange(done_, nullptr)();
}

}  // namespace meadowyard::lab
