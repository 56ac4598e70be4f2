package org.fallturn.core.scaling;

/**
 * Parameters of scaling; the settings in section {@code scaling} give their bounds.
 *
 * @param enabled whether engines are ordered from the platform
 * @param ownShare share of a zone's initial engines that the service keeps as its own
 * @param leastStageShare minimum share of the engines that each stage keeps
 */
public record ScaleParameters(boolean enabled, double ownShare, double leastStageShare) {}
