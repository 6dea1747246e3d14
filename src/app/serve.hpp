// `meadowyard serve`: one gateway on real sockets, in the foreground until SIGTERM.
#ifndef MEADOWYARD_APP_SERVE_HPP_
#define MEADOWYARD_APP_SERVE_HPP_

#include <string>

namespace meadowyard::app {

// Runs until SIGTERM or SIGINT; SIGHUP has it read its configuration again. Throws std::exception, with a
// text that names what is wrong, if it can't start.
// `edge`: the operators' file for tunnels; `peers`: theirs of the other gateways; empty: none.
void Serve(const std::string& edge = "", const std::string& peers = "");

}  // namespace meadowyard::app

#endif  // MEADOWYARD_APP_SERVE_HPP_
