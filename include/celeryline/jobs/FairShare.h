/// @file
/// Weighted fair shares of a pool's capacity.
#pragma once

#include "celeryline/registry/Announcement.h"

namespace celeryline {

/// @param use what a customer has reserved in a pool.
/// @param capacity capacity of the pool.
/// @return the larger one of its fractions of CPU and memory, which is the resource that it competes for.
///
/// Example: `dominantFraction({ 1000, 100, 0 }, { 4000, 1000, 0 }) == 0.25`
double dominantFraction(const Resources& use, const Resources& capacity);

/// @param use what a customer has reserved in a pool.
/// @param capacity capacity of the pool.
/// @param weight weight of the customer, 0 or more.
/// @return its dominant fraction in relation to its weight. Under scarcity, the customer with the lowest
/// level comes first. Infinite for a weight of 0.
double shareLevel(const Resources& use, const Resources& capacity, double weight);

/// @param totalWeight weight of all customers with work in a pool.
/// @return the level at which a customer has its share: all of them have it if all are at this level.
///
/// Example: `bool isWithinShare = shareLevel(use, capacity, weight) < fullShareLevel(totalWeight);`
double fullShareLevel(double totalWeight);

} // namespace celeryline
