package org.fallturn.core.configuration;

import java.util.OptionalLong;

/**
 * A change that an operator wants accepted.
 *
 * @param attemptId unique id, stored with the change; settles lost answers
 * @param operator who asks for it
 * @param statement the operator's text, for the audit trail
 * @param expectedVersion the version the operator has seen; the change is refused on any other
 * @param planner works out the change against the newest image
 */
public record ProposedChange(
    String attemptId,
    String operator,
    String statement,
    OptionalLong expectedVersion,
    ChangePlanner planner) {}
