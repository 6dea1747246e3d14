/// @file
/// Writes a text to a socket completely.
#ifndef MEADOWYARD_CORE_WRITE_ALL_HPP_
#define MEADOWYARD_CORE_WRITE_ALL_HPP_

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <utility>

namespace meadowyard::core {

/// Writes `text` to the non-blocking `socket` and calls `handler(error_code)` once, possibly before it
/// returns. A short write is repeated until the socket accepts no more: asio::async_write takes it for a full
/// send buffer and waits for it to empty, which never happens if the call was short for another reason.
/// `socket` must outlive the operation.
template <typename Handler>
void WriteAll(boost::asio::ip::tcp::socket& socket, std::shared_ptr<const std::string> text,
              std::size_t written, Handler handler) {
  boost::system::error_code ec;
  while (written < text->size() && (!ec || ec == boost::asio::error::interrupted))
    written += socket.write_some(boost::asio::buffer(*text) + written, ec);
  if (written == text->size()) return handler(boost::system::error_code());
  if (ec != boost::asio::error::would_block) return handler(ec);
  socket.async_wait(boost::asio::ip::tcp::socket::wait_write,
                    [&socket, text = std::move(text), written,
                     handler = std::move(handler)](boost::system::error_code wait_ec) mutable {
                      if (wait_ec) return handler(wait_ec);
                      WriteAll(socket, std::move(text), written, std::move(handler));
                    });
}

}  // namespace meadowyard::core

#endif  // MEADOWYARD_CORE_WRITE_ALL_HPP_
