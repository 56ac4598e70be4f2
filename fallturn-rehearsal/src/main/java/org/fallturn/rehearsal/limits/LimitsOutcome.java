package org.fallturn.rehearsal.limits;

/**
 * What a simulated fleet did.
 *
 * @param offered requests that came
 * @param admitted of them, admitted
 * @param refusedLater refused after the first ten seconds of load
 * @param worstShareSum largest sum of what all nodes could use at one time, over the limit
 * @param worstWindow most requests of a tenant admitted in any share duration, over what the limit
 *     allows in it plus one burst
 * @param useReached requests admitted, over the smaller of offered and allowed
 * @param bytesPerNodePerSecond bytes of control messages that a node sends and receives under load
 * @param messagesPerNodePerSecond control messages that a node sends and receives under load
 */
public record LimitsOutcome(
    long offered,
    long admitted,
    long refusedLater,
    double worstShareSum,
    double worstWindow,
    double useReached,
    double bytesPerNodePerSecond,
    double messagesPerNodePerSecond) {}
