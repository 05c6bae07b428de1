// The parts of the table of settings. Schema() in schema.h joins them in this order.
#pragma once

#include <vector>

#include "config/schema.h"

namespace indigosaddle::config {

const std::vector<Setting>& NodeRows();   // the node, its limits, delivery, recovery of a destination
const std::vector<Setting>& ListRows();   // the lists of tables, shadow evaluation, the program itself
const std::vector<Setting>& FleetRows();  // the fleet: what nodes share

}  // namespace indigosaddle::config
