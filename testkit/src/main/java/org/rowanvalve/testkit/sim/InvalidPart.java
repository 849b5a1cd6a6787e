package org.rowanvalve.testkit.sim;

/** What makes an update invalid as a whole. */
enum InvalidPart {
    /** A route names a service that nobody stated. */
    UNKNOWN_SERVICE,
    /** The same behind a sound part of that route with a higher version. */
    UNKNOWN_SERVICE_BEHIND,
    /** The same before it. */
    UNKNOWN_SERVICE_BEFORE,
    /** The weights of a route come to 0, behind a sound part of it with a higher version. */
    NO_WEIGHT_BEHIND,
    /** A service is dropped that standing routes name. */
    SERVICE_IN_USE,
    /** A service is dropped to which the same update adds a route. */
    SERVICE_OF_ADDED_ROUTE
}
