/// @file
/// `meadowyard serve`: runs one gateway in the foreground until SIGTERM.
#ifndef MEADOWYARD_APP_SERVE_HPP_
#define MEADOWYARD_APP_SERVE_HPP_

#include <string>

namespace meadowyard::app {

/// Returns after SIGTERM or SIGINT, once the open requests are answered. SIGHUP reloads the configuration and
/// the operators' files. Throws std::exception, with a text that names the error, if the gateway can't start.
/// `edge_path` is the operators' file for tunnels, `peers_path` their file of the gateways in front of the
/// same hosts; empty: none.
void Serve(const std::string& edge_path = "", const std::string& peers_path = "");

}  // namespace meadowyard::app

#endif  // MEADOWYARD_APP_SERVE_HPP_
