// Entry point of the program that the simulator starts: serves its text protocol on standard input and
// output.
#include <iostream>

#include "wirehost/wire_host.h"

int main() {
  std::ios::sync_with_stdio(false);
  return indigosaddle::wirehost::Serve(std::cin, std::cout, std::cerr);
}
