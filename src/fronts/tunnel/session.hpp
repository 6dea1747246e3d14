// A client from connecting to its reply.
#ifndef MEADOWYARD_FRONTS_TUNNEL_SESSION_HPP_
#define MEADOWYARD_FRONTS_TUNNEL_SESSION_HPP_

#include <memory>
#include <string>

#include "fronts/tunnel/tunnel_server.hpp"

namespace meadowyard {

class TunnelServer::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(TunnelServer& server, boost::asio::ip::tcp::socket socket, const EdgeListener& listener);

  void Begin() { Read(); }
  // Ends it; a request that is out is withdrawn.
  void Close();
  // Handshakes that last too long, and clients that were refused and stay, are closed.
  void Sweep(Millis now);
  bool handshaking() const { return stage_ == Stage::kHandshake; }
  bool waiting() const { return stage_ == Stage::kWaiting; }

 private:
  enum class Stage { kHandshake, kWaiting, kRefused, kClosed };
  void Read();
  void Readable();
  void Fed();
  void Ask();
  void Answered(core::Answer answer);
  // Writes at once: what a handshake says is far smaller than a fresh socket's buffer.
  bool Write(const std::string& text);
  void Refuse(TunnelReply reply, Millis retry_after, const std::string& what);
  void Linger();
  void Release();

  TunnelServer& server_;
  boost::asio::ip::tcp::socket socket_;
  const std::shared_ptr<const EdgeConfig> config_;  // as it was when the client came
  std::unique_ptr<Handshake> handshake_;
  TunnelFacts facts_;
  const Route* route_ = nullptr;
  std::string request_, in_;
  Millis until_;
  Stage stage_ = Stage::kHandshake;
  bool admitted_ = false;
  bool client_ended_ = false;
  bool reading_ = false;
};

}  // namespace meadowyard

#endif  // MEADOWYARD_FRONTS_TUNNEL_SESSION_HPP_
