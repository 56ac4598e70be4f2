package org.fallturn.node.gateway;

import java.util.List;
import org.fallturn.core.dispatch.PlacedPrompt;

/**
 * Which prompt parts engines are believed to keep.
 *
 * @param engines an entry an engine
 */
record KnownParts(List<PlacedPrompt> engines) {}
