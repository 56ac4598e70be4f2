package org.fallturn.rehearsal.membership;

/**
 * What gossip cost the members of a zone.
 *
 * @param members members of the zone
 * @param convergedSeconds time until every member knew every other, from a cold start of all
 * @param bytesOutPerSecond mean over the members, IP and UDP headers counted
 * @param bytesOutPerSecondHighest the member that sent most
 * @param bytesInPerSecond mean over the members
 * @param messagesOutPerSecond mean over the members
 * @param cpuPercent mean share of a core a member
 * @param suspicionsAtLoss suspicions in the zone while datagrams were lost
 * @param deathsAtLoss members declared dead while datagrams were lost and none had failed
 * @param lossSeconds how long datagrams were lost
 * @param detectionSeconds from a kill until half of the members had taken it off their view
 * @param detectionAllSeconds the same until all had
 * @param leavingAllSeconds from an announced leave until all members knew of it
 */
record MembershipSample(
    int members,
    double convergedSeconds,
    double bytesOutPerSecond,
    double bytesOutPerSecondHighest,
    double bytesInPerSecond,
    double messagesOutPerSecond,
    double cpuPercent,
    long suspicionsAtLoss,
    long deathsAtLoss,
    double lossSeconds,
    double detectionSeconds,
    double detectionAllSeconds,
    double leavingAllSeconds) {}
