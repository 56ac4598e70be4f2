package org.fallturn.node.configuration;

import java.util.Optional;
import org.fallturn.core.configuration.ConfigurationDelta;

/**
 * How an accepted change ended; refusals are exceptions.
 *
 * @param version the newest version
 * @param delta the accepted change; empty when the statement changed nothing
 */
public record CommitResult(long version, Optional<ConfigurationDelta> delta) {}
