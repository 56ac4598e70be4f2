package org.fallturn.node.machines;

/**
 * Asks a peer for its machine list, {@code POST /peer/machines}.
 *
 * @param after the version the asking node has; {@link MachineListModule#NO_LIST} for none
 */
public record MachineListQuery(long after) {}
