#include "lab/schedule.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <istream>
#include <map>
#include <nlohmann/json.hpp>
#include <numbers>
#include <sstream>

#include "core/message.hpp"
#include "lab/random.hpp"

namespace meadowyard::lab {
namespace {

constexpr double kLeastPatience = 0.7;  // clients give a try up after this to all of the class's deadline
constexpr std::size_t kMostArrivals = 20'000'000;
constexpr std::size_t kMostProblems = 100;

double Factor(const LoadShape& shape, Millis at) {
  if (at < shape.from || at >= shape.to) return 1;
  const double through = (at - shape.from) / (shape.to - shape.from);
  switch (shape.kind) {
    case LoadShape::Kind::kStep: return shape.factor;
    case LoadShape::Kind::kRamp: return 1 + (shape.factor - 1) * through;
    case LoadShape::Kind::kSine:
      return std::max(
          0.0, 1 + (shape.factor - 1) * std::sin(2 * std::numbers::pi * (at - shape.from) / shape.period));
    case LoadShape::Kind::kSpike: return 1 + (shape.factor - 1) * (1 - std::abs(2 * through - 1));
  }
  return 1;
}

double TenantFactor(const Experiment& e, std::size_t tenant, Millis at) {
  double factor = 1;
  for (const LoadShape& shape : e.load.shapes) {
    if (!shape.tenant.empty() && e.tenants[tenant].name == shape.tenant) factor *= Factor(shape, at);
  }
  return factor;
}

// Fills in what a request is, in the order of the arrivals.
class Details {
 public:
  Details(const Experiment& e, std::uint64_t seed)
      : e_(e),
        what_(seed, "what"),
        keys_(seed, "keys"),
        work_(seed, "work"),
        ids_(seed, "ids"),
        patience_(seed, "patience"),
        key_of_(Weighted::Zipf(static_cast<std::size_t>(e.load.keys), e.load.zipf)) {
    std::vector<double> shares;
    for (const ClassSpec& c : e.classes) shares.push_back(c.share);
    classes_ = Weighted(shares);
  }

  void Fill(Arrival& a, bool with_class, bool with_tenant, bool with_key, bool with_work) {
    const auto cls = static_cast<std::uint32_t>(classes_.Draw(what_));
    if (with_class) a.cls = cls;
    if (with_tenant) a.tenant = DrawTenant(a.due);
    const std::uint64_t key = key_of_.Draw(keys_) + 1;
    if (with_key) a.key = key;
    const ClassSpec& c = e_.classes[a.cls];
    const Millis work = DrawWork(c);
    if (with_work) a.work = work;
    const double noise = work_.Between(-1, 1);
    a.hint = e_.load.cost_noise < 0 ? -1 : a.work * std::max(0.0, 1 + e_.load.cost_noise * noise);
    a.patience = c.deadline * patience_.Between(kLeastPatience, 1);
    a.id = ids_.Bits();
  }

 private:
  std::int32_t DrawTenant(Millis at) {
    if (e_.tenants.empty()) return -1;
    double sum = 0;
    weights_.clear();
    for (std::size_t t = 0; t < e_.tenants.size(); ++t) {
      weights_.push_back(sum += e_.tenants[t].share * TenantFactor(e_, t, at));
    }
    const double drawn = what_.Uniform() * sum;
    const auto found = std::upper_bound(weights_.begin(), weights_.end(), drawn);
    return static_cast<std::int32_t>(
        std::min<std::ptrdiff_t>(found - weights_.begin(), std::ssize(weights_) - 1));
  }
  Millis DrawWork(const ClassSpec& c) {
    const double u = work_.Uniform();
    switch (c.shape) {
      case WorkShape::kFixed: return c.work;
      case WorkShape::kExponential: return -c.work * std::log(u);
      case WorkShape::kUniform: return c.work * (0.5 + u);
    }
    return c.work;
  }

  const Experiment& e_;
  Random what_, keys_, work_, ids_, patience_;
  Weighted classes_{{1}}, key_of_;
  std::vector<double> weights_;
};

double HighestFactor(const Experiment& e) {
  double most = 1, of_tenants = 1;
  for (const LoadShape& shape : e.load.shapes) {
    const double high = shape.kind == LoadShape::Kind::kSine ? 1 + std::abs(shape.factor - 1) : shape.factor;
    (shape.tenant.empty() ? most : of_tenants) *= std::max(1.0, high);
  }
  return most * of_tenants;
}

struct TraceFields {
  std::string time, cls, key, owner, work;
};

std::vector<std::string> SplitCsv(const std::string& line) {
  std::vector<std::string> cells(1);
  bool quoted = false;
  for (std::size_t i = 0; i < line.size(); ++i) {
    if (line[i] == '"') {
      if (quoted && i + 1 < line.size() && line[i + 1] == '"') {
        cells.back() += line[i++];
      } else {
        quoted = !quoted;
      }
    } else if (line[i] == ',' && !quoted) {
      cells.emplace_back();
    } else {
      cells.back() += line[i];
    }
  }
  if (quoted) throw std::invalid_argument("a quote is not closed");
  return cells;
}

TraceFields FromJson(const std::string& line) {
  const nlohmann::json json = nlohmann::json::parse(line, nullptr, false);
  if (!json.is_object()) throw std::invalid_argument("no JSON object: cut short?");
  const auto text = [&](const char* name) {
    if (!json.contains(name)) return std::string();
    return json[name].is_string() ? json[name].get<std::string>() : json[name].dump();
  };
  return {text("t"), text("class"), text("key"), text("owner"), text("work_ms")};
}

double ToNumber(const std::string& text, const char* what) {
  std::size_t used = 0;
  double value = 0;
  try {
    value = std::stod(text, &used);
  } catch (const std::exception&) {
    used = std::string::npos;
  }
  if (used != text.size() || !std::isfinite(value) || value < 0) {
    throw std::invalid_argument(std::string(what) + " is no number from 0: '" + text + "'");
  }
  return value;
}

std::uint64_t HashOf(const std::string& text) {
  std::uint64_t h = 1469598103934665603ULL;
  for (const unsigned char c : text) h = (h ^ c) * 1099511628211ULL;
  return h | 1;
}

}  // namespace

double RateFactor(const Experiment& e, int tenant, Millis at) {
  double factor = 1;
  for (const LoadShape& shape : e.load.shapes) {
    if (shape.tenant.empty()) factor *= Factor(shape, at);
  }
  if (e.tenants.empty()) return factor;
  if (tenant >= 0) return factor * TenantFactor(e, static_cast<std::size_t>(tenant), at);
  double all = 0, usual = 0;
  for (std::size_t t = 0; t < e.tenants.size(); ++t) {
    usual += e.tenants[t].share;
    all += e.tenants[t].share * TenantFactor(e, t, at);
  }
  return usual > 0 ? factor * all / usual : factor;
}

std::vector<Arrival> DrawSchedule(const Experiment& e, std::uint64_t seed) {
  using A = LoadSpec::Arrivals;
  std::vector<Arrival> arrivals;
  Random times(seed, "times");
  Details details(e, seed);
  const int group = e.load.arrivals == A::kBursts ? e.load.burst : 1;
  const double most = e.load.rate * HighestFactor(e) / group / 1000;
  const auto rate = [&](Millis at) { return e.load.rate * RateFactor(e, -1, at) / group / 1000; };
  Millis at = 0;
  for (;;) {
    if (e.load.arrivals == A::kUniform) {
      at += 1 / std::max(1e-9, rate(at));
    } else {  // Poisson by thinning (Lewis and Shedler 1979)
      do {
        at += times.Exponential(1 / most);
      } while (at < e.duration && times.Uniform() * most > rate(at));
    }
    if (at >= e.duration || arrivals.size() > kMostArrivals) break;
    for (int i = 0; i < group; ++i) {
      arrivals.emplace_back().due = at;
      details.Fill(arrivals.back(), true, true, true, true);
    }
  }
  return arrivals;
}

std::string ScheduleText(const Experiment& e, const std::vector<Arrival>& arrivals) {
  std::string text;
  for (const Arrival& a : arrivals) {
    text += fmt::format("{:.6f} {:016x} {} {} {} {:.6f} {:.6f} {:.6f}\n", a.due, a.id, e.classes[a.cls].name,
                        a.tenant < 0 ? "-" : e.tenants[static_cast<std::size_t>(a.tenant)].name, a.key,
                        a.work, a.hint, a.patience);
  }
  return text;
}

std::vector<Arrival> ReadTrace(const Experiment& e, std::uint64_t seed, std::istream& stream,
                               const std::string& file, std::vector<TraceProblem>& problems) {
  Details details(e, seed);
  std::vector<Arrival> arrivals;
  std::vector<std::string> head;
  std::string line;
  std::size_t number = 0;
  const auto problem = [&](const std::string& why) {
    if (problems.size() < kMostProblems) problems.push_back({number, why});
  };
  bool csv = false, ordered = true;
  while (std::getline(stream, line)) {
    ++number;
    if (!line.empty() && line.back() == '\r') line.pop_back();
    if (line.empty()) continue;
    if (number == 1 && line.front() != '{') {
      csv = true;
      head = SplitCsv(line);
      if (std::find(head.begin(), head.end(), "t") == head.end()) {
        throw SpecError(file + ":1: the head line of a CSV trace must name a column 't'");
      }
      continue;
    }
    try {
      TraceFields f;
      if (csv) {
        const auto cells = SplitCsv(line);
        if (cells.size() != head.size()) {
          throw std::invalid_argument(
              fmt::format("{} cells where the head line has {}", cells.size(), head.size()));
        }
        const std::map<std::string, std::string*> places = {
            {"t", &f.time}, {"class", &f.cls}, {"key", &f.key}, {"owner", &f.owner}, {"work_ms", &f.work}};
        for (std::size_t i = 0; i < cells.size(); ++i) {
          if (const auto at = places.find(head[i]); at != places.end()) *at->second = cells[i];
        }
      } else {
        f = FromJson(line);
      }
      Arrival a;
      a.due = ToNumber(f.time, "t") * 1000;
      const auto cls =
          std::find_if(e.classes.begin(), e.classes.end(), [&](const auto& c) { return c.name == f.cls; });
      if (!f.cls.empty() && cls == e.classes.end())
        throw std::invalid_argument("no [[class]] is named '" + f.cls + "'");
      if (!f.cls.empty()) a.cls = static_cast<std::uint32_t>(cls - e.classes.begin());
      const auto tenant =
          std::find_if(e.tenants.begin(), e.tenants.end(), [&](const auto& t) { return t.name == f.owner; });
      if (tenant != e.tenants.end()) a.tenant = static_cast<std::int32_t>(tenant - e.tenants.begin());
      if (!f.key.empty()) a.key = HashOf(f.key);
      if (!f.work.empty()) a.work = ToNumber(f.work, "work_ms");
      if (a.due >= e.duration) throw std::invalid_argument("later than duration_s");
      if (!arrivals.empty() && a.due < arrivals.back().due) {
        ordered = false;
        problem("earlier than the line before it: put in order");
      }
      details.Fill(a, f.cls.empty(), f.owner.empty(), f.key.empty(), f.work.empty());
      arrivals.push_back(a);
    } catch (const std::exception& error) {
      problem(error.what());
    }
  }
  if (arrivals.empty()) throw SpecError(file + ": no usable line");
  if (!ordered) {
    std::stable_sort(arrivals.begin(), arrivals.end(),
                     [](const auto& x, const auto& y) { return x.due < y.due; });
  }
  return arrivals;
}

}  // namespace meadowyard::lab
