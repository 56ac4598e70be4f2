package org.fallturn.rehearsal.membership;

import java.util.List;

/**
 * What the membership experiment does.
 *
 * @param sizes members of the zone, one run each
 * @param settleSeconds wait after convergence
 * @param measureSeconds how long traffic at rest is measured
 * @param lossSeconds how long datagrams are lost
 * @param lossRate share of datagrams lost then
 */
record MembershipPlan(
    List<Integer> sizes,
    long settleSeconds,
    long measureSeconds,
    long lossSeconds,
    double lossRate) {}
