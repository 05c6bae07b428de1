// The parts of the schema's table, by section. Schema() (schema.h) puts them together in this order.
#pragma once

#include <vector>

#include "config/schema.h"

namespace indigosaddle::config {

const std::vector<Item>& NodeRows();
const std::vector<Item>& ListRows();
const std::vector<Item>& FleetRows();

}  // namespace indigosaddle::config
