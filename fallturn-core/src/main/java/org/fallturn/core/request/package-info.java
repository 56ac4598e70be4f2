/**
 * The life of one model request as a pure state machine: placement, prefill, decode, resume after a
 * failure, deadline, cancel and outcome. Events go in, actions come out.
 */
package org.fallturn.core.request;
