// Text that commands print for people.

#include "app/command_output.h"

namespace auburnhaven::app {

void
printInputErrors(std::ostream& aOut, const state::InputErrors& aErrors)
{
  for (const state::InputError& error : aErrors.errors_) {
    aOut << error.source_;
    if (error.line_ > 0) {
      aOut << ':' << error.line_;
    }
    aOut << ": " << error.key_ << (error.key_.empty() ? "" : ": ")
         << error.message_ << '\n';
  }
}

} // namespace auburnhaven::app
