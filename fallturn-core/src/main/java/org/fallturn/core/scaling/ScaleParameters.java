package org.fallturn.core.scaling;

/**
 * Constants of scaling; see the settings of section {@code scaling} for their bounds.
 *
 * @param enabled whether the numbers of engines are ever ordered
 * @param ownShare share of a zone's standing engines that are kept as the service's own
 * @param leastStageShare share of the engines that each stage keeps
 */
public record ScaleParameters(boolean enabled, double ownShare, double leastStageShare) {}
