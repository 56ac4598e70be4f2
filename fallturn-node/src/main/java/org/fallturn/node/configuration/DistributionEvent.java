package org.fallturn.node.configuration;

import java.util.List;
import org.fallturn.core.configuration.ConfigurationDelta;
import org.fallturn.core.configuration.ConfigurationImage;
import org.fallturn.core.domain.NodeId;

/** What the distribution duty reacts to. */
sealed interface DistributionEvent {

  /**
   * Changes were read from the table or committed by this node.
   *
   * @param base an image, installed first when it is newer than the one in force
   * @param tail changes after it, in order
   * @param committedHere whether this node committed the last of them
   * @param whenApplied run once they are in force here
   */
  record Learned(
      ConfigurationImage base,
      List<ConfigurationDelta> tail,
      boolean committedHere,
      Runnable whenApplied)
      implements DistributionEvent {}

  /**
   * A peer pushed a version.
   *
   * @param push the message
   */
  record Pushed(PeerMessages.Push push) implements DistributionEvent {}

  /**
   * A child in the propagation tree did not answer.
   *
   * @param child the child
   * @param push what it was sent
   */
  record PushFailed(NodeId child, PeerMessages.Push push) implements DistributionEvent {}

  /**
   * A fetch from a peer ended.
   *
   * @param fetched the answer, or null when there was none
   */
  record FetchEnded(PeerMessages.Fetched fetched) implements DistributionEvent {}
}
