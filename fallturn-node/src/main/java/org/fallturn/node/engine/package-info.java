/** Client of the model engines: prefill, streamed tokens, cancel. */
package org.fallturn.node.engine;
