/// @file
/// A client connection from its accept until the tunnel opens or the connection is closed.
#ifndef MEADOWYARD_FRONTS_TUNNEL_SESSION_HPP_
#define MEADOWYARD_FRONTS_TUNNEL_SESSION_HPP_

#include <memory>
#include <string>

#include "fronts/tunnel/tunnel_server.hpp"

namespace meadowyard {

/// Runs the handshake, requests the tunnel and replies to the client.
class TunnelServer::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(TunnelServer& server, boost::asio::ip::tcp::socket socket, const EdgeListener& listener);

  void Begin() { AwaitReadable(); }
  /// Closes the connection and withdraws a pending request.
  void Close();
  /// Closes the connection if its handshake, or its lingering close after a rejection, has exceeded its
  /// time-out.
  void Sweep(Millis now);
  bool handshaking() const { return stage_ == Stage::kHandshake; }
  bool waiting() const { return stage_ == Stage::kWaiting; }

 private:
  enum class Stage { kHandshake, kWaiting, kLingeringClose, kClosed };
  void AwaitReadable();
  void OnReadable();
  void ProcessHandshake();
  void RequestTunnel();
  void OnAnswer(core::Answer answer);
  // Sends without waiting; false if not everything could be sent. A handshake's output is far smaller than
  // the send buffer of a new socket.
  bool Write(const std::string& text);
  void Reject(TunnelReply reply, Millis retry_after, const std::string& outcome);
  void StartLingeringClose();
  void ReleaseAdmission();

  TunnelServer& server_;
  boost::asio::ip::tcp::socket socket_;
  const std::shared_ptr<const EdgeConfig> config_;  // in force when the client connected
  std::unique_ptr<Handshake> handshake_;
  TunnelInfo info_;
  const Route* route_ = nullptr;
  std::string request_id_, input_;
  Millis deadline_;
  Stage stage_ = Stage::kHandshake;
  bool admitted_ = false;
  bool client_ended_ = false;
  bool reading_ = false;
};

}  // namespace meadowyard

#endif  // MEADOWYARD_FRONTS_TUNNEL_SESSION_HPP_
