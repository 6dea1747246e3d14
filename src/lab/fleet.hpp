// The stand-in fleet with its discovery, and the script of troubles that befall them.
#ifndef MEADOWYARD_LAB_FLEET_HPP_
#define MEADOWYARD_LAB_FLEET_HPP_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "coordination/message_codec.hpp"
#include "lab/discovery_stand_in.hpp"
#include "lab/host.hpp"
#include "lab/peer_links.hpp"
#include "lab/random.hpp"
#include "lab/records.hpp"
#include "lab/relay.hpp"
#include "lab/spec.hpp"

namespace meadowyard::lab {

class Fleet {
 public:
  // All hosts listen and discovery answers by the time it returns; `seed` decides whom troubles hit.
  Fleet(boost::asio::io_context& io, const Experiment& experiment, std::uint64_t seed);

  std::vector<std::string> discovery() const { return discovery_.addresses(); }  // one a gateway
  std::vector<std::string> hosts() const;
  nlohmann::json List(int gateway) const { return discovery_.List(gateway); }
  // Where gateway `from` reaches gateway `to` by datagrams, and those of `to` come from; empty without
  // [peers].
  const std::vector<std::vector<std::string>>& peers() const { return peer_addresses_; }
  // The script's time begins at `start` of Clock().
  void Begin(Millis start);
  const FleetLedger& ledger() const { return ledger_; }

 private:
  struct Place {
    std::unique_ptr<StandInHost> host;
    DiscoveryStandIn::Member member;
  };

  void Add(const KindSpec& kind, const std::string& hall, bool known);
  std::vector<int> Victims(const Trouble& trouble, Random& random) const;
  void Befall(const Trouble& trouble, std::size_t number);
  void After(Millis wait, std::function<void()> then);
  void Tell(int host, const std::string& phase);
  void Restarted(int host);
  void Flap(int host, Millis until);
  void Replace(int host);
  void Cut(const Trouble& trouble, Random& random);
  Relay* RelayOf(int gateway, int host);
  void OverheardOfHalls(int from, int to, const coordination::CoordinationMessage& word, bool arrived);
  void Overheard(int from, int to, const char* bytes, std::size_t size, bool arrived);

  boost::asio::io_context& io_;
  const Experiment experiment_;
  const std::uint64_t seed_;
  Random random_;
  FleetLedger ledger_;
  DiscoveryStandIn discovery_;
  std::vector<Place> places_;
  std::map<std::pair<int, int>, std::unique_ptr<Relay>> relays_;  // by gateway and host; with [host_link]
  std::optional<PeerLinks> peer_links_;
  std::vector<std::vector<std::string>> peer_addresses_;
};

// A fleet in a process of its own. Ends with the process that started it.
class FleetProcess {
 public:
  FleetProcess(const Experiment& experiment, std::uint64_t seed);
  ~FleetProcess();
  FleetProcess(const FleetProcess&) = delete;
  FleetProcess& operator=(const FleetProcess&) = delete;

  const std::vector<std::string>& discovery() const { return discovery_; }
  const std::vector<std::string>& hosts() const { return hosts_; }
  const std::vector<nlohmann::json>& lists() const { return lists_; }  // one a gateway
  const std::vector<std::vector<std::string>>& peers() const { return peers_; }
  void Begin(Millis start);
  // Ends it and gives what it wrote down.
  FleetLedger Finish();
  int pid() const { return pid_; }

 private:
  std::string ReadLine();
  int pid_ = -1, link_ = -1;
  std::string read_;
  std::vector<std::string> discovery_, hosts_;
  std::vector<nlohmann::json> lists_;
  std::vector<std::vector<std::string>> peers_;
};

}  // namespace meadowyard::lab

#endif  // MEADOWYARD_LAB_FLEET_HPP_
