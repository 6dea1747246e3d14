#include "operations/descriptor.hpp"

#include <unistd.h>

namespace meadowyard::operations {

Descriptor::~Descriptor() {
  if (fd_ >= 0) ::close(fd_);
}

}  // namespace meadowyard::operations
