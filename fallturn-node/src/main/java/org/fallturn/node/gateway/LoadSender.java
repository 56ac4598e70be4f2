package org.fallturn.node.gateway;

import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import org.fallturn.core.dispatch.EngineDigest;
import org.fallturn.core.dispatch.LearnedSpeed;
import org.fallturn.core.dispatch.PlacedPrompt;

/** Tells this node's load to the other nodes. Called on the dispatch thread; must not block. */
interface LoadSender {

  /** Nodes that share a bound, this one included; a cautious count, empty when it is not known. */
  OptionalInt cautiousNodeCount();

  /** Whether one message reaches every node, so that news is worth one of its own. */
  boolean reachesAll();

  /** Tells it; best effort. */
  void send(
      Map<String, EngineDigest> engines,
      List<PlacedPrompt> newPrompts,
      Map<String, LearnedSpeed> speeds);
}
