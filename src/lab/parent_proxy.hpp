// A stand-in parent proxy: SOCKS5 or CONNECT, which dials the address that it is asked for. A share of its
// connections is never answered, and a share is refused, by seed.
#ifndef MEADOWYARD_LAB_PARENT_PROXY_HPP_
#define MEADOWYARD_LAB_PARENT_PROXY_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <string>

#include "lab/random.hpp"

namespace meadowyard::lab {

struct ParentSpec {
  bool socks = true;
  double silent = 0, refuses = 0;  // shares of its connections
};

class ParentProxy {
 public:
  ParentProxy(boost::asio::io_context& io, const ParentSpec& spec, std::uint64_t seed);
  std::string address() const;
  std::size_t opened() const { return opened_; }
  std::size_t silent() const { return silent_; }
  std::size_t refused() const { return refused_; }

 private:
  struct Guest;
  void Accept();
  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  const ParentSpec spec_;
  Random random_;
  std::size_t opened_ = 0, silent_ = 0, refused_ = 0;
};

}  // namespace meadowyard::lab

#endif  // MEADOWYARD_LAB_PARENT_PROXY_HPP_
