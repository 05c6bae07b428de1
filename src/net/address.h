// Conversion between socket addresses and text.
#pragma once

#include <uv.h>

#include <string>

namespace indigosaddle::net {

// Parses "ip:port" or "[ip]:port" into `address`. Returns false if the text is neither.
bool ParseAddress(const std::string& text, sockaddr_storage& address);

// The address that a listening socket is bound to, as "ip:port" or "[ip]:port". Empty if there is no socket
// or the system does not report its address.
std::string BoundAddress(const uv_tcp_t* listener);
std::string BoundAddress(int descriptor);

}  // namespace indigosaddle::net
