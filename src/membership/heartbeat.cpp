#include "membership/heartbeat.hpp"

#include <nlohmann/json.hpp>
#include <stdexcept>

#include "duties/words.hpp"

namespace meadowyard::membership {
namespace {

using nlohmann::json;

constexpr int kVersion = 1;
constexpr std::size_t kMostNames = 256;
constexpr std::size_t kMostText = 128;
constexpr double kMostAge = 1e9;  // and any other amount

std::string Text(const json& value) {
  const auto& text = value.get_ref<const std::string&>();
  if (text.empty() || text.size() > kMostText) throw std::invalid_argument("text");
  return text;
}

std::vector<std::string> Texts(const json& list) {
  if (!list.is_array() || list.size() > kMostNames) throw std::invalid_argument("list");
  std::vector<std::string> all;
  for (const json& item : list) all.push_back(Text(item));
  return all;
}

double Amount(const json& value) {
  const double read = value.get<double>();
  if (!(read >= 0 && read <= kMostAge)) throw std::invalid_argument("number");
  return read;
}

ZoneLoadReport ReadSights(const json& all) {
  ZoneLoadReport sights{all.at("zone").get<std::string>(), Amount(all.at("arriving")), {}};
  const json& zones = all.at("zones");
  if (sights.zone.size() > kMostText || !zones.is_array() || zones.size() > kMostZones)
    throw std::invalid_argument("zones");
  for (const json& z : zones) {
    const auto& name = z.at(0).get_ref<const std::string&>();
    if (name.size() > kMostText) throw std::invalid_argument("zone");
    sights.zones.push_back({name, Amount(z.at(1)), Amount(z.at(2)), Amount(z.at(3)), Amount(z.at(4))});
  }
  return sights;
}

std::uint64_t Whole(const json& value) {
  if (!value.is_number_unsigned()) throw std::invalid_argument("number");
  return value.get<std::uint64_t>();
}

}  // namespace

std::vector<std::uint8_t> ToBytes(const Beat& beat) {
  json started = json::array(), hears = json::array();
  for (const Beat::Echo& e : beat.hears) hears.push_back({e.name, e.life, e.number});
  for (const Beat::Start& s : beat.started) started.push_back({s.server, s.age});
  json all = {{"v", kVersion},    {"from", beat.from},  {"life", beat.life},
              {"n", beat.number}, {"list", beat.list},  {"listed", static_cast<std::uint64_t>(beat.listed)},
              {"hears", hears},   {"started", started}, {"recovered", beat.recovered}};
  if (beat.sights) {
    json zones = json::array();
    for (const ZoneLoad& z : beat.sights->zones) {
      if (zones.size() < kMostZones)
        zones.push_back({z.zone, z.capacity, z.available, z.completed, z.within_objective});
    }
    all["zone"] = beat.sights->zone, all["arriving"] = beat.sights->arrival_rate, all["zones"] = zones;
  }
  return json::to_cbor(all);
}

std::optional<Beat> ParseBeat(const std::uint8_t* bytes, std::size_t size) {
  if (size > kMostBeat) return std::nullopt;
  try {  // a size beyond all memory throws even so
    const json all = json::from_cbor(bytes, bytes + size, true, false);
    if (!all.is_object()) return std::nullopt;
    if (Whole(all.at("v")) != kVersion) return std::nullopt;
    Beat beat;
    beat.from = Text(all.at("from"));
    beat.life = Whole(all.at("life"));
    beat.number = Whole(all.at("n"));
    beat.list = Whole(all.at("list"));
    const std::uint64_t listed = Whole(all.at("listed"));
    if (listed < 1 || listed > kMostNames) return std::nullopt;
    beat.listed = static_cast<int>(listed);
    const json& hears = all.at("hears");
    if (!hears.is_array() || hears.size() > kMostNames) return std::nullopt;
    for (const json& item : hears)
      beat.hears.push_back({Text(item.at(0)), Whole(item.at(1)), Whole(item.at(2))});
    beat.recovered = Texts(all.at("recovered"));
    const json& started = all.at("started");
    if (!started.is_array() || started.size() > kMostNames) return std::nullopt;
    for (const json& item : started) {
      beat.started.push_back({Text(item.at(0)), Amount(item.at(1))});
    }
    if (all.contains("zone")) beat.sights = ReadSights(all);
    return beat;
  } catch (const std::exception&) {  // a field is missing or of another kind
    return std::nullopt;
  }
}

}  // namespace meadowyard::membership
