#include <stdlib.h>
#include <string.h>

#include <dragonflywharf/session.h>

int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len);

/* No text made without the key is a token. */
int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t len)
{
	const struct dw_session_keys keys = { .current = { 1 },
					      .previous = { 2 },
					      .has_previous = true };
	struct dw_session_claims claims;
	char *text = malloc(len + 1);

	if (!text)
		return 0;
	if (len > 0)
		memcpy(text, bytes, len);
	text[len] = '\0';
	if (dw_session_token_verify(&keys, text, "o", 0, &claims) != DW_UNAUTHENTICATED)
		abort();
	free(text);
	return 0;
}
