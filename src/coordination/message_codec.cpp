#include "coordination/message_codec.hpp"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace meadowyard::coordination {
namespace {

using nlohmann::json;

constexpr int kVersion = 1;
constexpr std::size_t kMostName = 128;
constexpr std::uint32_t kMostParts = 1000;
const std::array<std::string, 2> kRoles = {"list", "zones"};

std::uint64_t Whole(const json& value, std::uint64_t most = ~0ull) {
  if (!value.is_number_unsigned() || value.get<std::uint64_t>() > most) throw std::invalid_argument("number");
  return value.get<std::uint64_t>();
}

std::int64_t Revision(const json& value) {
  if (!value.is_number_integer()) throw std::invalid_argument("number");
  return value.get<std::int64_t>();
}

json Body(const Lease::Message& w) {
  return {{"lease", static_cast<std::uint64_t>(w.type)},
          {"token", w.token},
          {"seen", w.highest_promised},
          {"holder", w.owner}};
}
json Body(const EndpointListPart& p) {
  discovery::EndpointList list{p.revision, p.complete, p.hosts};
  return {{"list", p.revision}, {"token", p.token},
          {"after", p.after},   {"part", p.part},
          {"parts", p.parts},   {"hosts", p.parts > 0 ? discovery::SerializeEndpointList(list) : ""}};
}
json Body(const EndpointListRequest& w) { return {{"wanted", true}, {"token", w.token}}; }
json Body(const ZoneStateAnnouncement& w) {
  json zones = json::array();
  for (const ZoneAgreement::Zone& z : w.state.zones)
    zones.push_back({z.name, z.health, z.capacity, z.demand});
  return {{"stand", static_cast<std::uint64_t>(w.kind)},
          {"token", w.token},
          {"term", w.state.term},
          {"version", w.state.version},
          {"zones", zones}};
}
json Body(const ZoneStateVote& v) { return {{"vote", v.version}, {"token", v.token}}; }

double Amount(const json& value, double most) {
  const double read = value.get<double>();
  if (!(read >= 0 && read <= most)) throw std::invalid_argument("number");
  return read;
}

ZoneStateAnnouncement ReadZones(const json& all) {
  ZoneStateAnnouncement w{static_cast<ZoneStateAnnouncement::Kind>(Whole(all.at("stand"), 2)),
                          Whole(all.at("token")),
                          {Whole(all.at("term")), Whole(all.at("version")), {}}};
  const json& zones = all.at("zones");
  if (!zones.is_array() || zones.size() > kMaxZones) throw std::invalid_argument("zones");
  for (const json& z : zones) {
    const auto& name = z.at(0).get_ref<const std::string&>();
    if (name.size() > kMostName) throw std::invalid_argument("zone");
    w.state.zones.push_back({name, Amount(z.at(1), 1), Amount(z.at(2), 1e9), Amount(z.at(3), 1e9)});
  }
  return w;
}

CoordinationMessage Read(const json& all) {
  const FencingToken token = Whole(all.at("token"));
  if (all.contains("lease")) {
    const std::int64_t holder = Revision(all.at("holder"));
    if (holder < -1 || holder > 255) throw std::invalid_argument("holder");
    return Lease::Message{static_cast<Lease::Message::Type>(Whole(all.at("lease"), 4)), token,
                          Whole(all.at("seen")), static_cast<int>(holder)};
  }
  if (all.contains("wanted")) return EndpointListRequest{token};
  if (all.contains("stand")) return ReadZones(all);
  if (all.contains("vote")) return ZoneStateVote{token, Whole(all.at("vote"))};
  EndpointListPart part;
  part.token = token;
  part.revision = Revision(all.at("list"));
  part.after = Revision(all.at("after"));
  part.parts = static_cast<std::uint32_t>(Whole(all.at("parts"), kMostParts));
  part.part = static_cast<std::uint32_t>(Whole(all.at("part"), kMostParts));
  if (part.parts == 0) return part;
  auto list = discovery::ParseEndpointList(all.at("hosts").get_ref<const std::string&>());
  if (!list || part.part >= part.parts || list->revision != part.revision)
    throw std::invalid_argument("hosts");
  part.complete = list->is_snapshot;
  part.hosts = std::move(list->endpoints);
  return part;
}

}  // namespace

std::vector<std::uint8_t> ToBytes(const std::string& from, LeaseRole role, const CoordinationMessage& word) {
  json all = std::visit([](const auto& w) { return Body(w); }, word);
  all["v"] = kVersion;
  all["from"] = from;
  all["duty"] = kRoles[static_cast<std::size_t>(role)];
  return json::to_cbor(all);
}

std::optional<ReceivedMessage> DecodeMessage(const std::uint8_t* bytes, std::size_t size) {
  if (size > kMaxMessageSize) return std::nullopt;
  try {
    const json all = json::from_cbor(bytes, bytes + size, true, false);
    if (!all.is_object() || Whole(all.at("v")) != kVersion) return std::nullopt;
    const auto duty = std::find(kRoles.begin(), kRoles.end(), all.value("duty", ""));
    if (duty == kRoles.end()) return std::nullopt;
    ReceivedMessage read;
    read.role = static_cast<LeaseRole>(duty - kRoles.begin());
    read.sender = all.at("from").get_ref<const std::string&>();
    if (read.sender.empty() || read.sender.size() > kMostName) return std::nullopt;
    read.message = Read(all);
    return read;
  } catch (const std::exception&) {  // a field is missing, of another kind, or of no sense
    return std::nullopt;
  }
}

}  // namespace meadowyard::coordination
