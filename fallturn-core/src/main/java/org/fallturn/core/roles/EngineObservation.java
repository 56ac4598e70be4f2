package org.fallturn.core.roles;

import org.fallturn.core.domain.EngineId;
import org.fallturn.core.domain.EngineRole;

/**
 * One engine of a pool as its leader sees it, by the leader's own exact count.
 *
 * @param engine its name
 * @param role its present role; the role to be taken while it drains for or makes a change
 * @param availability whether it takes requests
 * @param inFlightRequests requests placed on it and not yet finished there
 * @param inFlightPromptTokens prompt tokens placed on it and not yet computed
 * @param inFlightOutputTokens estimate of the output tokens placed on it and not yet generated
 */
public record EngineObservation(
    EngineId engine,
    EngineRole role,
    Availability availability,
    int inFlightRequests,
    long inFlightPromptTokens,
    long inFlightOutputTokens) {

  /** Whether an engine takes requests, or why not. */
  public enum Availability {
    /** Takes requests of its role. */
    SERVING,
    /** Finishes what it has before its role change is ordered. */
    DRAINING,
    /** Changing its role. */
    CHANGING_ROLE,
    /** Loading weights, leaving, drained by an operator, or out of reach. */
    UNAVAILABLE
  }
}
