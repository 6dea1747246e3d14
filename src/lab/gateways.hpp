// The gateway processes of an experiment: started, killed, restarted and followed by new versions while
// clients ask.
#ifndef MEADOWYARD_LAB_GATEWAYS_HPP_
#define MEADOWYARD_LAB_GATEWAYS_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "lab/process.hpp"
#include "lab/referee.hpp"
#include "lab/report.hpp"
#include "lab/spec.hpp"

namespace meadowyard::lab {

class Gateways {
 public:
  // `takes(gateway, in)`: the front takes it in, or leaves it out.
  Gateways(const Experiment& experiment, std::uint64_t seed, const std::vector<std::string>& discovery,
           const std::vector<nlohmann::json>& known, const std::vector<std::vector<std::string>>& peers,
           std::string folder, std::function<void(std::size_t, bool)> takes);

  // Starts all and waits until they serve. Throws std::runtime_error with the last line of one that did not.
  void Start();
  const std::vector<std::string>& addresses() const { return addresses_; }
  // Plays the script's troubles of gateways.
  void Script(boost::asio::io_context& io, Millis start);
  // What was seen by now; call it now and then, for a process takes its figures with it.
  void Look();
  int pid(std::size_t g) const { return all_[g].process->pid(); }
  // Ends all at once.
  void Kill();
  // Ends all as planned, and gives what each cost.
  std::vector<GatewayCost> Stop();
  const std::vector<Outage>& outages() const { return outages_; }
  const std::vector<PeersSeen>& seen() const { return seen_; }
  const std::vector<std::string>& remarks() const { return remarks_; }

 private:
  struct Gateway {
    std::string address, admin, folder;
    std::unique_ptr<Child> process, before;  // `before`: the version that gives way
    Usage now, ended;                        // of the process, and of those before it
  };
  void Launch(std::size_t g);
  void WritePeers(std::size_t g) const;
  // Asks each now and then what it sees of its peers.
  void Watch(boost::asio::io_context& io);
  void Befall(boost::asio::io_context& io, const Trouble& trouble, std::size_t g);
  void WhenServing(boost::asio::io_context& io, const std::string& address, const std::string& path,
                   Millis until, std::function<void(bool)> then);
  void After(boost::asio::io_context& io, Millis wait, std::function<void()> then);
  void Ended(std::size_t g);
  std::size_t Holder() const;

  const Experiment experiment_;
  const std::uint64_t seed_;
  const std::vector<std::string> discovery_;
  const std::vector<std::vector<std::string>> peers_;
  const std::string folder_;
  const std::function<void(std::size_t, bool)> takes_;
  std::vector<std::string> addresses_;
  std::vector<Gateway> all_;
  std::vector<Outage> outages_;
  std::vector<PeersSeen> seen_;
  std::vector<std::string> remarks_;
  bool stopping_ = false;
};

// The command that starts a gateway: what the file says, else the program beside this one.
std::vector<std::string> GatewayCommand(const Experiment& experiment);

}  // namespace meadowyard::lab

#endif  // MEADOWYARD_LAB_GATEWAYS_HPP_
