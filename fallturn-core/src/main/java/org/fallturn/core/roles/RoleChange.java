package org.fallturn.core.roles;

import org.fallturn.core.domain.EngineId;
import org.fallturn.core.domain.EngineRole;

/**
 * A decision to give an engine another role.
 *
 * @param engine which engine
 * @param role the role it shall take
 */
public record RoleChange(EngineId engine, EngineRole role) {}
